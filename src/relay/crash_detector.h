// Detects endpoints that ended while they ran a call, and tells which calls must not be sent
// because their content crashed several endpoints; see crash_suspects.h.
//
//   crash_detector crashes(context, state);
//   if (const auto hold = crashes.active_hold(call)) { ... } // refuse the call
//   const auto probe = crashes.begin_hold_probe(call);       // lives as long as the attempt
//   crashes.on_attempt(call, result);

#ifndef WISTERIAFLOW_SRC_RELAY_CRASH_DETECTOR_H_
#define WISTERIAFLOW_SRC_RELAY_CRASH_DETECTOR_H_

#include <map>
#include <memory>
#include <optional>

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

  // The hold for which the call must not be sent; nothing if it may be sent.
  [[nodiscard]] std::optional<gateway::content_hold> active_hold(const admitted_call& call);

  // Marks a call with held content that is sent anyway, to find out whether the content still
  // crashes endpoints. While the object lives, this daemon sends no other call with the same
  // content.
  using hold_probe = std::shared_ptr<const gateway::content_id>;

  // Must be called before each attempt. Returns a hold probe if the call's content is held, else
  // null.
  [[nodiscard]] hold_probe begin_hold_probe(const admitted_call& call);

 private:
  void record_success(const admitted_call& call);
  void record_crash(const admitted_call& call, const attempt_result& result);

  [[nodiscard]] bool is_hold_probe_due(const gateway::content_id& content, wall_time try_at);

  fleet_state& state_;
  std::map<gateway::content_id, std::weak_ptr<const gateway::content_id>> active_hold_probes_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CRASH_DETECTOR_H_
