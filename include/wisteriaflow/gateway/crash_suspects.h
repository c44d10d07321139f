// Detects requests that crash endpoints, by their content (see request_content.h), from the crashes
// that the whole fleet observes.
//
// Some requests terminate the process of every endpoint that starts to run them, and their callers
// send them again. When an endpoint terminates, each daemon reports the contents of its requests in
// flight there. Merging the reports of all daemons is commutative and idempotent. A content is
// held, that is, not sent to endpoints any more, once several endpoints have terminated while
// running it and no other content explains these crashes better:
//
//   - Of the contents in flight at one endpoint, the one that was present in the most crashes
//     explains the crash. On a tie, a content without any answer event is preferred: a request
//     whose answer had started mostly ran next to the one that had just started.
//   - A content that was answered completely does not crash endpoints: earlier reports about it
//     are ignored.
//
// After a delay that doubles with each further crash, a held content may be probed: a single
// request shows whether the fault is gone. The hold ends with a complete answer, or when the
// crashes are older than the retention time.
//
//   crash_suspects suspects({});
//   suspects.on_crash({.process = {id, incarnation}, .content = c, .at = now});
//   if (const auto hold = suspects.hold_of(c)) {
//     // refuse; from hold->probe_at on, one daemon sends one request with this content at a time
//   }

#ifndef WISTERIAFLOW_GATEWAY_CRASH_SUSPECTS_H_
#define WISTERIAFLOW_GATEWAY_CRASH_SUSPECTS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/request_content.h"

namespace wisteriaflow::gateway {

// Progress of a request when its endpoint terminated.
enum class answer_stage {
  not_started, // neither an event nor a complete answer had arrived
  started,     // at least one event had arrived
};

// A request that was in flight at an endpoint when the endpoint terminated.
struct crash_observation {
  endpoint_process process;
  content_id content;
  answer_stage stage = answer_stage::not_started;
  wall_time at; // by the fleet's common clock

  friend bool operator==(const crash_observation&, const crash_observation&) = default;
};

// The termination of one endpoint process, with the contents in flight there.
struct endpoint_crash {
  endpoint_process process;
  wall_time at; // first observation
  std::map<content_id, answer_stage> suspects;

  friend bool operator==(const endpoint_crash&, const endpoint_crash&) = default;
};

// Crashes and answers as exchanged between daemons and kept in the store.
struct crash_report {
  std::vector<endpoint_crash> crashes;
  std::map<content_id, wall_time> answered; // the content is not suspect in crashes up to this time

  [[nodiscard]] bool empty() const { return crashes.empty() && answered.empty(); }

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

// The crashes because of which a content is held, and when it may be probed.
struct content_hold {
  wall_time probe_at;
  std::vector<endpoint_process> crashed; // processes whose crash is attributed to this content

  friend bool operator==(const content_hold&, const content_hold&) = default;
};

struct crash_suspects_options {
  // Number of crashed endpoint processes after which a content is held. With two, a retryable
  // request that twice reached the same faulty endpoint would be held along with it.
  std::size_t crashes_before_hold = 3;
  // Delay before a held content is probed: longer than any caller waits, and doubled by each
  // further crash, so that a content that crashes every endpoint crashes three more in the first
  // seven minutes.
  std::chrono::seconds initial_probe_delay{60};
  std::chrono::seconds max_probe_delay{600};
  // Retention of a crash: the longest probe delay, twice.
  std::chrono::seconds crash_retention{1'200};
  // Bounds on memory: crashes, and contents in flight per crash, which equal the requests of the
  // largest batch. When all are full and all requests were answered since, they use 1.2 MB of heap.
  std::size_t max_crashes = 64;
  std::size_t max_suspects_per_crash = 64;
  // A change is gossiped for `gossip_duration`, which covers several rounds of the exchange between
  // daemons. A report takes up crashes until it has `max_gossiped_requests` requests, which are two
  // full batches. When all endpoints of a zone terminate at once, their crashes are sent in
  // rotation.
  std::chrono::milliseconds gossip_duration{3'000};
  std::size_t max_gossiped_requests = 128;
  // A content that was answered this recently is not suspect: many callers may be sending it.
  std::chrono::milliseconds recent_answer_window{5'000};
  // Answers remembered for that purpose in each of two generations, an estimated 60 KB each.
  std::size_t max_recent_answers = 1'024;
};

// Not thread-safe.
class crash_suspects {
 public:
  explicit crash_suspects(crash_suspects_options options) : options_(options) {}

  // Records that an endpoint terminated with this request in flight.
  void on_crash(const crash_observation& observed) { add(observed, observed.at); }

  // Records a complete answer. Returns true if the content was suspect until now.
  bool on_answered(const content_id& content, wall_time now);

  // Merges a report of a peer or of the store. Crashes beyond the retention time are ignored.
  void merge(const crash_report& received, wall_time now);

  // The hold on the content; nothing if it is not held.
  [[nodiscard]] std::optional<content_hold> hold_of(const content_id& content);

  // All holds by content.
  [[nodiscard]] std::map<content_id, content_hold> holds();

  // The crashes in which the content is suspect, without other contents: this is kept in the store.
  [[nodiscard]] crash_report evidence_of(const content_id& content) const;

  // Changes within the gossip duration, bounded in size, for the next report to peers.
  [[nodiscard]] crash_report recent_changes(wall_time now);

  // The complete state, for a peer whose digest differs.
  [[nodiscard]] crash_report all() const;

  // Digest of the state: equal in daemons with equal state; 0 if the state is empty.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  // Number of crashes in which the content is suspect.
  [[nodiscard]] std::size_t times_suspected(const content_id& content) const;

  // Removes crashes beyond the retention time, and answers that are no longer needed.
  void tick(wall_time now);

  [[nodiscard]] std::size_t crashes_known() const { return crashes_.size(); }

 private:
  struct crash_entry {
    wall_time at;
    wall_time gossip_until;
    std::map<content_id, answer_stage> suspects;
  };
  struct answer_entry {
    wall_time at;
    wall_time gossip_until;
  };
  // Number of crashes in which each content is suspect.
  using suspect_counts = std::unordered_map<content_id, std::size_t>;

  // Adds one request to a crash and starts to gossip it.
  void add(const crash_observation& observed, wall_time now);
  void set_stage(const endpoint_process& process, crash_entry& crash, const content_id& content,
                 answer_stage stage);
  void add_answer(const content_id& content, wall_time answered_at, wall_time now);
  [[nodiscard]] bool is_cleared(const content_id& content, const crash_entry& crash) const;
  [[nodiscard]] bool was_answered_recently(const content_id& content, wall_time now) const;
  // Time of the last crash with the content among its suspects; nothing if there is none.
  [[nodiscard]] std::optional<wall_time> last_crash_of(const content_id& content) const;
  // Evicts the oldest crash that no hold depends on; if all are needed, the oldest one.
  void drop_crash();
  void drop_suspect(const endpoint_process& process, crash_entry& crash, const content_id& content);
  void drop_least_likely(const endpoint_process& process, crash_entry& crash);
  void drop_all(const endpoint_process& process, crash_entry& crash);
  void drop_unneeded_answers();
  void rotate_answers(wall_time now);

  [[nodiscard]] suspect_counts count_suspects() const;
  // Whether another suspect of the crash is likelier to have caused it.
  [[nodiscard]] bool has_likelier_suspect(const crash_entry& crash, const content_id& content,
                                          const suspect_counts& counts) const;
  [[nodiscard]] std::chrono::seconds probe_delay_after(std::size_t crashes) const;
  // Recomputes the holds if anything has changed.
  void recompute_holds();

  crash_suspects_options options_;
  std::map<endpoint_process, crash_entry> crashes_;
  std::map<content_id, answer_entry> answered_; // only for contents in `crash_counts_`
  std::unordered_map<content_id, wall_time> latest_answers_;
  std::unordered_map<content_id, wall_time> earlier_answers_;
  wall_time rotated_at_;

  // Derived from the crashes and updated with each change, so that a call whose content is not
  // suspect costs a single lookup.
  suspect_counts crash_counts_; // number of crashes that name a content
  std::uint64_t digest_ = 0;

  // Also derived from the crashes; see recompute_holds().
  std::map<content_id, content_hold> holds_;
  bool changed_ = false;

  std::size_t next_gossiped_crash_ = 0; // position in the rotation
  std::size_t next_gossiped_answer_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CRASH_SUSPECTS_H_
