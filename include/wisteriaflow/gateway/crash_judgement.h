// Judges what crashed endpoints, given the crashes and what remains suspect in each.
//
//   - Of the suspects in flight at one endpoint, the one that was present in the most crashes
//     explains the crash.
//   - On a tie the narrower one does: a content before a part, and of two parts the later one in
//     its prompt. Of two contents, it is the one without any answer event: a request whose answer
//     had started mostly ran next to the one that had just started.
//   - Requests with one content that crashes endpoints do so at the same point of their answers. A
//     crash at which the content had clearly not come as far as at a later one, or one just before,
//     has another cause.
//   - Parts that are tied all the same, and parts among as many crashes that nothing explains, are
//     told apart by further crashes. They are held anyway if that takes too many.
//
//   const auto holds = judge_crashes(crashes, {});

#ifndef WISTERIAFLOW_GATEWAY_CRASH_JUDGEMENT_H_
#define WISTERIAFLOW_GATEWAY_CRASH_JUDGEMENT_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/crash_suspect.h"
#include "wisteriaflow/gateway/endpoint_process.h"

namespace wisteriaflow::gateway {

// The termination of one endpoint process, with the suspects in flight there.
struct endpoint_crash {
  endpoint_process process;
  wall_time at; // first observation, by the fleet's common clock
  suspicions suspects;

  friend bool operator==(const endpoint_crash&, const endpoint_crash&) = default;
};

// The crashes because of which a suspect is held, and when it may be probed.
struct crash_hold {
  wall_time probe_at;
  std::vector<endpoint_process> crashed; // processes whose crash is attributed to this suspect
  wall_time first_crash_at;
  wall_time last_crash_at;
  // Of a content: requests with it ran at other processes when these crashed. It has many callers,
  // and what becomes of those requests tells whether it is to blame.
  bool is_contested = false;

  friend bool operator==(const crash_hold&, const crash_hold&) = default;
};

using crash_holds = std::map<crash_suspect, crash_hold>;

struct crash_judgement_options {
  // Number of crashed endpoint processes after which a suspect is held. With two, a retryable
  // request that twice reached the same faulty endpoint would be held along with it.
  std::size_t crashes_before_hold = 3;
  // A crash tells how far a content can come at those that happened later, or this long before.
  std::chrono::milliseconds progress_window{5'000};
  // As `crashes_before_hold`, for parts of prompts of which none explains the crashes better than
  // the others, or which explain fewer crashes than happened for unknown reasons meanwhile.
  std::size_t max_crashes_before_hold = 5;
  // Delay before a held content is probed: longer than any caller waits, and doubled by each
  // further crash, so that a content that crashes every endpoint crashes three more in the first
  // seven minutes.
  std::chrono::seconds initial_probe_delay{60};
  std::chrono::seconds max_probe_delay{600};
  // Delay before a held part is probed. Any number of callers may send the part, for as long as the
  // fault lasts, so that the delay grows with the age of the fault: a fault that lasts for a day
  // crashes three more endpoints.
  std::chrono::seconds initial_part_probe_delay{600};
  std::chrono::seconds max_part_probe_delay{86'400};
  int part_probe_delay_per_age = 5;
};

// What must be held. `crashes` have different processes, and suspects without those that are known
// to be innocent.
[[nodiscard]] crash_holds judge_crashes(std::vector<endpoint_crash> crashes,
                                        const crash_judgement_options& options);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CRASH_JUDGEMENT_H_
