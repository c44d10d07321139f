// Works out what each raw event means for a request's life, and steps its state machine.
//
// One handler an event, called by std::visit.

#ifndef WISTERIAFLOW_REQUESTS_LIFE_DRIVER_H_
#define WISTERIAFLOW_REQUESTS_LIFE_DRIVER_H_

#include <utility>

#include "life_context.h"
#include "life_machine.h"

namespace wisteriaflow::requests::internal {

class life_driver {
 public:
  life_driver(request_life_options options, handed_over_state state)
      : context(std::move(options), std::move(state))
  {
    states_.context = &context;
    states_.start();
  }
  life_driver(const life_driver&) = delete;
  life_driver& operator=(const life_driver&) = delete;
  ~life_driver() = default;

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
  void operator()(const endpoint_leaving& event);
  void operator()(const kv_exported& event);
  void operator()(const kv_export_failed& event);
  void operator()(const cancel_confirmed& event);
  void operator()(const cancel_failed& event);
  void operator()(const caller_gone& event);
  void operator()(const caller_back& event);
  void operator()(const deadline_passed& event);
  void operator()(const drain_started& event);
  void operator()(const handover_accepted& event);
  void operator()(const handover_refused& event);

  [[nodiscard]] life_stage stage() const { return states_.stage; }

  life_context context;

 private:
  template <typename step> void take(const step& it) { states_.process_event(it); }
  [[nodiscard]] bool in(life_stage it) const { return states_.stage == it; }
  void end(const outcome& result);
  void progress();
  void lost(unknown_reason reason);
  void drain_to_peer();

  life_machine states_;
};

} // namespace wisteriaflow::requests::internal

#endif // WISTERIAFLOW_REQUESTS_LIFE_DRIVER_H_
