// Detects endpoints that ended while they ran a call, and tells which calls must not be sent
// because their content, or a part of their prompt, crashed several endpoints; see
// crash_suspects.h.
//
//   crash_detector crashes(state);
//   if (const auto hold = crashes.active_hold(call)) { ... } // refuse the call
//   const auto probe = crashes.begin_hold_probe(call);       // lives as long as the attempt
//   crashes.on_attempt(call, result);

#ifndef WISTERIAFLOW_SRC_RELAY_CRASH_DETECTOR_H_
#define WISTERIAFLOW_SRC_RELAY_CRASH_DETECTOR_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "relay/attempt.h"
#include "relay/fleet_state.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class crash_detector {
 public:
  explicit crash_detector(fleet_state& state) : state_(state) {}

  // Handles the end of an attempt. Must be called before the decision on a retry.
  void on_attempt(const admitted_call& call, const attempt_result& result);

  // The endpoint has written the answer for a while: no part of the prompt crashes endpoints that
  // begin to write.
  void on_well_begun(const admitted_call& call, const gateway::endpoint_process& by);

  // A hold that applies to a call.
  struct applicable_hold {
    gateway::crash_suspect suspect;
    gateway::crash_hold hold;
  };

  // The hold for which the call must not be sent; nothing if it may be sent.
  [[nodiscard]] std::optional<applicable_hold> active_hold(const admitted_call& call);

  // Marks a call that is sent although its content, or a part of its prompt, is held, to find out
  // whether that still crashes endpoints. While the object lives, this daemon sends no other call
  // with the same.
  using hold_probe = std::shared_ptr<const std::vector<gateway::crash_suspect>>;

  // Must be called before each attempt. Returns a hold probe if something of the call is held, else
  // null.
  [[nodiscard]] hold_probe begin_hold_probe(const admitted_call& call);

 private:
  void record_success(const admitted_call& call, const gateway::endpoint_process& by);
  void record_answer(const admitted_call& call, const gateway::crash_suspect& suspect,
                     const gateway::endpoint_process& by);
  void record_crash(const admitted_call& call, const attempt_result& result);

  // The hold on the suspect, which may be probed at once if it is doubtful; see inherited_holds.
  [[nodiscard]] std::optional<gateway::crash_hold> hold_of(const gateway::crash_suspect& suspect);
  [[nodiscard]] bool is_hold_probe_due(const gateway::crash_suspect& suspect, wall_time probe_at);

  fleet_state& state_;
  std::map<gateway::crash_suspect, std::weak_ptr<const std::vector<gateway::crash_suspect>>>
      active_hold_probes_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CRASH_DETECTOR_H_
