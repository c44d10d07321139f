// Tracks how current a daemon's view of the endpoints is, and which changes peers may lack.
//
// Calls to the store are expensive, and all daemons need the same changes. Therefore the daemon
// that read the store last tells its peers the revision and the age of its reading. If nothing has
// changed in between, they treat it as their own reading; otherwise they fetch the changes from
// that peer. A daemon reads the store itself only if neither it nor a peer has done so for a while.
// A few daemons, the readers, do so after a short time; all others after twice that time, so that
// they seldom have to.
//
// A daemon may lack the latest descriptions of endpoints for a while, but must not send calls to an
// endpoint that has left. Its knowledge of departures therefore has a position and an age of its
// own. Every message with a view contains the departures of the last seconds, so that a daemon that
// was up to date then is up to date again, without the descriptions, which may be large. If a
// daemon's knowledge is older than it may be although a peer's is not, is_outdated() says so: it
// must not choose endpoints by itself.
//
//   if (feed.is_read_due(now)) {
//     ... read the changes after feed.revision(), update() each ...
//     feed.on_read(revision_of_the_answer, now);
//   }
//   if (feed.on_peer_view(view, asked_at) == feed_action::fetch) { ... fetch from the peer ... }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_FEED_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_FEED_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::gateway {

// State of a daemon's view of the endpoints, as sent to peers.
struct endpoint_view {
  store_revision revision; // store revision up to which every change is known; 0: none
  store_revision changed;  // revision of the last change other than a heartbeat
  // Every removal after this revision has been seen and sent to peers. A list shows the present
  // endpoints, not those that were removed before.
  store_revision removals_after;
  std::chrono::milliseconds age{0}; // since the store was read at `revision`
  // Every departure up to `departures_revision` is known, where the store was read
  // `departures_age` ago. The message with this view contains those after `departures_after`.
  store_revision departures_revision;
  store_revision departures_after;
  std::chrono::milliseconds departures_age{0};

  friend bool operator==(const endpoint_view&, const endpoint_view&) = default;
};

// A peer's answer to a request for changes: the endpoints whose description changed after a
// revision, and the departures since then.
struct endpoint_changes {
  endpoint_view view;
  std::vector<endpoint_record> records;
  std::vector<endpoint_departure> departures = {};
  // Whether there are no more descriptions than these. If there are, `view.revision` is that of the
  // last one here.
  bool is_complete = true;

  friend bool operator==(const endpoint_changes&, const endpoint_changes&) = default;
};

struct endpoint_feed_options {
  // Time after which a leaving endpoint must not get requests any more. The store is read again by
  // some daemon within 0.6 of it after the last reading; the rest is for the reading itself and for
  // gossip.
  std::chrono::milliseconds max_leaving_delay{2'000};
  std::uint64_t seed = 0;
  // A view older than this is not brought up to date by peers, since they remember departures for a
  // limited time only.
  std::chrono::milliseconds max_view_gap{60'000};
};

// What to do after receiving a peer's view.
enum class feed_action { nothing, fetch };

// Not thread-safe.
class endpoint_feed {
 public:
  explicit endpoint_feed(endpoint_feed_options options);

  // Sets whether this daemon is one of the few that read the store for the others.
  void set_reader(bool reader) { is_reader_ = reader; }
  [[nodiscard]] bool is_reader() const { return is_reader_; }

  // Sets the time over which daemons that peers should inform spread their own reads of the store
  // once the peers' views stop; 0: each reads as soon as it is due. The store could not answer all
  // daemons of a large fleet at once.
  void set_min_read_interval(std::chrono::milliseconds interval) { min_read_interval_ = interval; }

  // The store was listed completely at `revision`, and update() was called for its endpoints.
  // Endpoints that are not in `known` are removed.
  void on_list(const std::map<endpoint_id, endpoint_record>& known, store_revision revision,
               mono_time asked_at);

  // The store was at `revision` when it was read, and all changes up to there have been applied.
  void on_read(store_revision revision, mono_time asked_at);

  // The same for an answer that may be incomplete: all changes up to `revision` are known, but the
  // view does not become fresher, so that the next read follows at once.
  void on_partial_read(store_revision revision);

  // Applies an endpoint's description. Only a description that differs from the known one in more
  // than its revision counts as a change.
  void update(const endpoint_record& record);

  // The same for a description fetched from a peer. It always counts as a change, since it was one
  // for the peer, and other daemons may fetch it from this one.
  void update_from_peer(const endpoint_record& record);

  // The endpoint departed as of a revision, which is a change; a later return is another change.
  void on_departure(const endpoint_departure& departure);

  // Removes the endpoints that are not in `known`.
  void retain(const std::map<endpoint_id, endpoint_record>& known);

  // A peer sent its view in answer to a request made at `asked_at`.
  [[nodiscard]] feed_action on_peer_view(const endpoint_view& peer_view, mono_time asked_at);

  // A peer sent the changes after the revision `after` in answer to a request made at `asked_at`,
  // and they have been applied.
  void on_fetched(const endpoint_changes& changes, store_revision after, mono_time asked_at);

  // The store was found to be another copy than the one that was read: it must be read again now.
  void on_store_restored(mono_time now) { next_read_at_ = now; }

  // Whether this daemon has to read the store itself now.
  [[nodiscard]] bool is_read_due(mono_time now) const { return now >= next_read_at(); }
  // When the next read is due unless a peer's view postpones it.
  [[nodiscard]] mono_time next_read_at() const;

  // Whether a departure may have been missed for longer than `max_leaving_delay` although a peer
  // knows the departures of that time. While no peer does, as during an outage of the store, nobody
  // can know better.
  [[nodiscard]] bool is_outdated(mono_time now) const;
  // Time since the store was read at the position up to which every departure is known.
  [[nodiscard]] std::chrono::milliseconds departures_age(mono_time now) const;

  [[nodiscard]] store_revision revision() const { return revision_; }
  // The view to send to peers, with the departures after its `departures_after`; empty before the
  // first read.
  [[nodiscard]] endpoint_view view(mono_time now) const;

  // Changes that a peer lacks whose view is at `revision`: the earliest `max_records` of them.
  [[nodiscard]] endpoint_changes changes_after(store_revision revision, std::size_t max_records,
                                               mono_time now) const;

 private:
  struct description {
    endpoint_record record;
    store_revision changed; // revision of the last change to the record
  };

  void mark_changed(description& known, store_revision revision);
  [[nodiscard]] bool can_catch_up(const endpoint_view& peer_view, mono_time read_at) const;
  void advance_to(store_revision revision, mono_time read_at);
  void advance_departures_to(store_revision revision, mono_time read_at);
  // Takes over what the peer knows of departures, if nothing is missing in between.
  void adopt_departures(const endpoint_view& peer_view, mono_time asked_at);
  // How long a departure is in every message with a view, and the position that long ago.
  [[nodiscard]] std::chrono::milliseconds listed_for() const;
  [[nodiscard]] store_revision departures_after(mono_time now) const;

  // The store was read at `revision`.
  struct reading {
    mono_time at;
    store_revision revision;
  };

  endpoint_feed_options options_;
  std::mt19937_64 random_;
  store_revision revision_;
  store_revision changed_;
  store_revision removals_after_;
  mono_time read_at_;
  store_revision departures_revision_;
  mono_time departures_read_at_;
  std::deque<reading> recent_readings_;   // of departures, by time; the first is the oldest needed
  mono_time peers_read_at_;               // latest reading of departures that a peer has stated
  std::optional<mono_time> behind_since_; // when a peer first stated one that could not be adopted
  mono_time next_read_at_;
  bool is_reader_ = false;
  std::chrono::milliseconds min_read_interval_{0};
  std::map<endpoint_id, description> descriptions_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_FEED_H_
