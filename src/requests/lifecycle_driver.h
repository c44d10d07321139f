// Event handlers of a request: each interprets an event, updates the context and fires the
// state machine's trigger for it.
//
// There is one overload of the call operator per event, for std::visit.

#ifndef WISTERIAFLOW_REQUESTS_LIFECYCLE_DRIVER_H_
#define WISTERIAFLOW_REQUESTS_LIFECYCLE_DRIVER_H_

#include <utility>

#include "lifecycle_context.h"
#include "lifecycle_machine.h"

namespace wisteriaflow::requests::internal {

class lifecycle_driver {
 public:
  lifecycle_driver(request_lifecycle_options options, handed_over_state state)
      : context(std::move(options), std::move(state))
  {
    states_.context = &context;
    states_.start();
  }
  lifecycle_driver(const lifecycle_driver&) = delete;
  lifecycle_driver& operator=(const lifecycle_driver&) = delete;
  ~lifecycle_driver() = default;

  void operator()(const admission_granted& event);
  void operator()(const admission_refused& event);
  void operator()(const claim_granted& event);
  void operator()(const claim_duplicate& event);
  void operator()(const claim_unavailable& event);
  void operator()(const attempt_started& event);
  void operator()(const attempt_head& event);
  void operator()(const token_arrived& event);
  void operator()(const body_arrived& event);
  void operator()(const attempt_finished& event);
  void operator()(const attempt_failed& event);
  void operator()(const retry_granted& event);
  void operator()(const retry_denied& event);
  void operator()(const reclaim_announced& event);
  void operator()(const kv_exported& event);
  void operator()(const kv_export_failed& event);
  void operator()(const cancel_confirmed& event);
  void operator()(const cancel_failed& event);
  void operator()(const caller_disconnected& event);
  void operator()(const caller_reconnected& event);
  void operator()(const deadline_passed& event);
  void operator()(const drain_started& event);
  void operator()(const handover_accepted& event);
  void operator()(const handover_refused& event);

  [[nodiscard]] lifecycle_stage stage() const { return states_.stage; }

  lifecycle_context context;

 private:
  template <typename trigger> void fire(const trigger& it) { states_.process_event(it); }
  [[nodiscard]] bool is_in(lifecycle_stage it) const { return states_.stage == it; }
  void finish_with(const outcome& result);
  void on_progress();
  void on_attempt_lost(unknown_reason reason);
  void hand_over_for_drain();

  lifecycle_machine states_;
};

} // namespace wisteriaflow::requests::internal

#endif // WISTERIAFLOW_REQUESTS_LIFECYCLE_DRIVER_H_
