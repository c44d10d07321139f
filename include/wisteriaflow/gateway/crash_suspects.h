// Detects what crashes endpoints, from the crashes that the whole fleet observes: the content of a
// request that its caller sends again and again, or a part of a prompt that different requests have
// in common (see crash_suspect.h).
//
// When an endpoint terminates, each daemon reports the suspects of its requests in flight there.
// Merging the reports of all daemons is commutative and idempotent. A suspect is held, that is,
// requests with it are not sent to endpoints any more, once several endpoints have terminated while
// running such requests and no other suspect explains these crashes better; see crash_judgement.h.
// Some evidence takes a suspect out of a crash before it is judged:
//
//   - A suspect that was answered does not crash endpoints: earlier reports about it are ignored.
//     Requests share parts, so those that are innocent are answered all the time.
//   - A content with which a request has come further at another process than any had at the one
//     that terminated does not crash endpoints. What runs everywhere runs wherever one terminates.
//   - A part that the terminated process itself had answered is not suspect in its crash. While no
//     endpoint answers, a part that most requests share is under way wherever one terminates.
//
// After a delay that grows with further crashes, a held suspect may be probed: a single request
// shows whether the fault is gone. The hold ends with an answer, or when the crashes are older than
// the retention time.
//
//   crash_suspects suspects({});
//   const auto in_flight = suspects_of(content, prompt);
//   suspects.on_crash({.process = {id, incarnation}, .at = now, .suspects = in_flight});
//   if (const auto hold = suspects.hold_of(content)) {
//     // refuse; from hold->probe_at on, one daemon sends one such request at a time
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
#include <unordered_set>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/crash_judgement.h"
#include "wisteriaflow/gateway/crash_suspect.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/running_answers.h"

namespace wisteriaflow::gateway {

// Crashes and answers as exchanged between daemons and kept in the store.
struct crash_report {
  std::vector<endpoint_crash> crashes;
  std::map<crash_suspect, wall_time> answered; // not suspect in crashes up to this time

  [[nodiscard]] bool empty() const { return crashes.empty() && answered.empty(); }

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

struct crash_suspects_options {
  crash_judgement_options judgement;
  // Retention of a crash: the longest probe delay of a content, twice. A crash for which a part is
  // held is retained for as long after the probe is due: by then, requests with the part have come,
  // or they come no more.
  std::chrono::seconds crash_retention{1'200};
  // Bounds on memory: crashes; contents in flight per crash, which equal the requests of the
  // largest batch; and parts of their prompts, three for each request if they share none. When all
  // are full and all requests were answered since, they use 4.8 MB of heap.
  std::size_t max_crashes = 64;
  std::size_t max_contents_per_crash = 64;
  std::size_t max_parts_per_crash = 192;
  // A change is gossiped for `gossip_duration`, which covers several rounds of the exchange between
  // daemons. A report takes up crashes until it has `max_gossiped_suspects`, which are two full
  // batches whose prompts share most parts. When all endpoints of a zone terminate at once, their
  // crashes are sent in rotation.
  std::chrono::milliseconds gossip_duration{3'000};
  std::size_t max_gossiped_suspects = 256;
  // What was answered this recently is not suspect: many callers may be sending it.
  std::chrono::milliseconds recent_answer_window{5'000};
  // Answers remembered for that purpose in each of two generations, an estimated 60 KB each.
  std::size_t max_recent_answers = 1'024;
  // Pairs of a process and a part that it answered, remembered in each of two generations, an
  // estimated 300 KB each. Parts that most requests share are remembered again and again.
  std::size_t max_answered_parts = 8'192;
  // A request counts as one that ran when an endpoint crashed if it was sent this long before: the
  // clocks of daemons differ.
  std::chrono::milliseconds clock_tolerance{100};
};

// Not thread-safe.
class crash_suspects {
 public:
  explicit crash_suspects(crash_suspects_options options) : options_(options) {}

  // Records that an endpoint terminated with these suspects in flight.
  void on_crash(const endpoint_crash& observed) { add(observed, observed.at); }

  // Records an answer that shows that the suspect does not crash endpoints. Returns true if it was
  // suspect until now.
  bool on_answered(const crash_suspect& suspect, wall_time now);

  // Lets the requests that run with held contents speak for them. Returns the contents of which
  // they show something new, which other daemons must know.
  std::vector<content_id> on_running(const running_answers& running, wall_time now);

  // Records that the process has answered a request with this part.
  void on_answered_by(const endpoint_process& process, const prompt_part_id& part);

  // Merges a report of a peer or of the store. Crashes beyond the retention time are ignored.
  void merge(const crash_report& received, wall_time now);

  // The hold on the suspect; nothing if it is not held.
  [[nodiscard]] std::optional<crash_hold> hold_of(const crash_suspect& suspect);

  // All holds.
  [[nodiscard]] crash_holds holds();

  // The crashes in which this one is suspect, without the others: this is kept in the store.
  [[nodiscard]] crash_report evidence_of(const crash_suspect& suspect) const;

  // Changes within the gossip duration, bounded in size, for the next report to peers.
  [[nodiscard]] crash_report recent_changes(wall_time now);

  // The complete state, for a peer whose digest differs.
  [[nodiscard]] crash_report all() const;

  // Digest of the state: equal in daemons with equal state; 0 if the state is empty.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  // Number of crashes in which this one is suspect.
  [[nodiscard]] std::size_t times_suspected(const crash_suspect& suspect) const;
  // Whether these are as many as a hold takes.
  [[nodiscard]] bool can_be_held(const crash_suspect& suspect) const;

  // Removes crashes beyond the retention time, and answers that are no longer needed.
  void tick(wall_time now);

  [[nodiscard]] std::size_t crashes_known() const { return crashes_.size(); }

 private:
  struct crash_entry {
    wall_time at;
    wall_time gossip_until;
    suspicions suspects;
  };
  struct answer_entry {
    wall_time at;
    wall_time gossip_until;
  };

  // Adds suspects to a crash and starts to gossip them.
  void add(const endpoint_crash& observed, wall_time now);
  // Returns whether that changed anything.
  bool add_suspect(const endpoint_process& process, crash_entry& crash,
                   const crash_suspect& suspect, const suspicion& seen);
  void add_answer(const crash_suspect& suspect, wall_time answered_at, wall_time now);
  // Adds what these requests, which have the content, show about a crash. Returns whether it is
  // news.
  bool add_running(const endpoint_process& process, crash_entry& crash, const content_id& content,
                   const std::vector<running_answer>& answers);
  void replace(const endpoint_process& process, crash_entry& crash, const crash_suspect& suspect,
               const suspicion& by);
  // Whether an answer has cleared the suspect since the crash.
  [[nodiscard]] bool is_cleared(const crash_suspect& suspect, const crash_entry& crash) const;
  // Whether it is cleared, or refuted for this crash. It must be one of the crash's suspects.
  [[nodiscard]] bool is_innocent(const crash_suspect& suspect, const crash_entry& crash) const;
  [[nodiscard]] bool has_answered(const endpoint_process& process,
                                  const crash_suspect& suspect) const;
  [[nodiscard]] bool was_answered_recently(const crash_suspect& suspect, wall_time now) const;
  // Time of the last crash with this suspect; nothing if there is none.
  [[nodiscard]] std::optional<wall_time> last_crash_of(const crash_suspect& suspect) const;
  // Evicts the oldest crash that no hold depends on; if all are needed, the oldest one.
  void drop_crash();
  void drop_suspect(const endpoint_process& process, crash_entry& crash,
                    const crash_suspect& suspect);
  // Drops the least likely contents and parts beyond the limits.
  void drop_excess(const endpoint_process& process, crash_entry& crash);
  void drop_all(const endpoint_process& process, crash_entry& crash);
  void drop_expired(wall_time now);
  void drop_unneeded_answers();
  void rotate_answers(wall_time now);
  // Whether the suspect is held because of this crash, and its probe was due at most the retention
  // time ago.
  [[nodiscard]] bool is_retained(const crash_suspect& suspect, const endpoint_process& process,
                                 wall_time now) const;

  // Whether as many crashes as a hold takes name the suspect, innocent or not.
  [[nodiscard]] bool is_frequent(const crash_suspect& suspect) const;
  // All crashes, each with those frequent suspects that are not known to be innocent.
  [[nodiscard]] std::vector<endpoint_crash> crashes_to_judge() const;
  // Adds the answers that clear suspects of the crash: a peer that knew only the crash would hold
  // them.
  void add_answers(const crash_entry& crash, crash_report& to) const;
  // Recomputes the holds if anything has changed.
  void recompute_holds();

  crash_suspects_options options_;
  std::map<endpoint_process, crash_entry> crashes_;
  std::map<crash_suspect, answer_entry> answered_; // only for suspects in `crash_counts_`
  std::unordered_map<crash_suspect, wall_time> latest_answers_;
  std::unordered_map<crash_suspect, wall_time> earlier_answers_;
  wall_time rotated_at_;
  std::unordered_set<std::uint64_t> latest_answered_parts_; // hashes of process and part
  std::unordered_set<std::uint64_t> earlier_answered_parts_;

  // Derived from the crashes and updated with each change, so that a call without any suspect costs
  // a lookup for each part of its prompt.
  // Number of crashes that name a suspect.
  std::unordered_map<crash_suspect, std::size_t> crash_counts_;
  std::uint64_t digest_ = 0;

  // Also derived from the crashes; see recompute_holds().
  crash_holds holds_;
  bool changed_ = false;

  std::size_t next_gossiped_crash_ = 0; // position in the rotation
  std::size_t next_gossiped_answer_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CRASH_SUSPECTS_H_
