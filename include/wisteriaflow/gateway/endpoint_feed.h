// How current a daemon's view of the endpoints is, and what of it peers may lack.
//
// Calls to the store are dear, and every daemon wants the same news. So whoever read the store last
// tells its peers at which revision and how long ago; they take that for their own reading if
// nothing has changed in between, or fetch the changes from the peer if something has. A daemon
// reads the store itself only when neither it nor a peer has done so for a while: a few daemons,
// the readers, after a short while, all others after twice that, so that they seldom have to.
//
//   if (feed.is_due(now)) {
//     ... read the changes after feed.revision(), note() each ...
//     feed.on_read(revision_of_the_answer, now);
//   }
//   if (feed.on_peer_view(told, asked_at) == feed_step::fetch) { ... ask the peer for them ... }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_FEED_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_FEED_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_pool.h"

namespace wisteriaflow::gateway {

// A view as it is told to peers.
struct endpoint_view {
  std::uint64_t revision = 0; // of the store: every change up to it is known; 0: nothing is
  std::uint64_t changed = 0;  // of the last change that is more than a heartbeat
  // Every removal after this revision has been seen and told. A list shows what is there, not what
  // was removed before.
  std::uint64_t removals_after = 0;
  std::chrono::milliseconds age{0}; // since the store was asked that stood at `revision`

  friend bool operator==(const endpoint_view&, const endpoint_view&) = default;
};

// A peer's answer to a question for changes: the endpoints described anew after a revision, and the
// departures since.
struct endpoint_changes {
  endpoint_view view;
  std::vector<endpoint_record> records;
  std::vector<endpoint_departure> departures = {};

  friend bool operator==(const endpoint_changes&, const endpoint_changes&) = default;
};

struct endpoint_feed_options {
  // A leaving endpoint must get no request after this. The store is read again within 0.6 of it
  // after the last reading, by whomever; the rest is for the reading and the way to peers.
  std::chrono::milliseconds notice{2'000};
  std::uint64_t seed = 0;
  // A view older than this is not brought up to date by peers: what they remember of departures is
  // bounded.
  std::chrono::milliseconds longest_gap{5'000};
};

// What to do about a peer's view.
enum class feed_step { nothing, fetch };

// Not thread-safe.
class endpoint_feed {
 public:
  explicit endpoint_feed(endpoint_feed_options options);

  // Whether this daemon is one of the few that read for the others.
  void set_reader(bool reader) { is_reader_ = reader; }
  [[nodiscard]] bool is_reader() const { return is_reader_; }

  // The store was listed whole at `revision`, and its endpoints have been noted. Those that are not
  // among `known` any more are forgotten.
  void on_list(const std::map<endpoint_id, endpoint_record>& known, std::uint64_t revision,
               mono_time asked_at);

  // The store stood at `revision` when it was asked, and all changes up to there have been noted.
  void on_read(std::uint64_t revision, mono_time asked_at);

  // The same where there may be more changes than an answer holds: up to `revision` all are known,
  // and the view is no fresher than before, so that it is read on at once.
  void on_partly_read(std::uint64_t revision);

  // Notes an endpoint's description; only one that says something new counts as a change.
  void note(const endpoint_record& record);

  // The same for a description fetched from a peer: a change, whatever it says, since it was one
  // for the daemon that told it, and others may follow this one.
  void note_fetched(const endpoint_record& record);

  // The endpoint has departed as of a revision, which is a change; should it come back, that is
  // another one.
  void forget(const endpoint_departure& gone);

  // Forgets the endpoints that are not among `known`.
  void retain(const std::map<endpoint_id, endpoint_record>& known);

  // A peer answered a question of `asked_at` with its view.
  [[nodiscard]] feed_step on_peer_view(const endpoint_view& told, mono_time asked_at);

  // A peer answered a question of `asked_at` for the changes after `after`, which have been noted.
  void on_fetched(const endpoint_view& told, std::uint64_t after, mono_time asked_at);

  // Whether this daemon has to read the store itself.
  [[nodiscard]] bool is_due(mono_time now) const { return now >= due_at_; }
  [[nodiscard]] mono_time due_at() const { return due_at_; }

  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] endpoint_view view(mono_time now) const;

  // What a peer lacks whose view is at `revision`.
  [[nodiscard]] endpoint_changes changes_after(std::uint64_t revision, mono_time now) const;

 private:
  struct description {
    endpoint_record record;
    std::uint64_t changed = 0; // the revision at which it became what it is
  };

  void mark_changed(description& known, std::uint64_t revision);
  [[nodiscard]] bool may_follow(const endpoint_view& told, mono_time read_at) const;
  void move_to(std::uint64_t revision, mono_time read_at);

  endpoint_feed_options options_;
  std::mt19937_64 random_;
  std::uint64_t revision_ = 0;
  std::uint64_t changed_ = 0;
  std::uint64_t removals_after_ = 0;
  mono_time read_at_;
  mono_time due_at_;
  bool is_reader_ = false;
  std::map<endpoint_id, description> descriptions_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_FEED_H_
