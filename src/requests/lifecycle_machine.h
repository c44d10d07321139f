// The stages of a request and the transitions between them, as a Boost.MSM state machine.
//
// The events of this machine are called triggers here, as opposed to the request's events.
// `lifecycle_driver` maps an event to a trigger: a failed attempt, for example, may mean a retry, a
// move or the end of the request. A trigger that the table does not list for a stage is ignored.

#ifndef WISTERIAFLOW_REQUESTS_LIFECYCLE_MACHINE_H_
#define WISTERIAFLOW_REQUESTS_LIFECYCLE_MACHINE_H_

#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "lifecycle_context.h"

namespace wisteriaflow::requests::internal {

// Triggers.
struct admitted {};                // admission control admitted the request
struct claimed {};                 // this daemon has claimed the key
struct response_started {};        // bytes of the endpoint's response have arrived
struct attempt_lost {};            // another attempt may follow if the retry budget allows it
struct retry_now {};               // start another attempt at once
struct move_kv_cache {};           // export the KV cache of the running attempt
struct keep_running {};            // continue with the running attempt
struct cancel_exported_attempt {}; // the cache is exported: cancel the attempt that it came from
struct begin_handover {};          // hand the request over to a peer
struct completed {};               // the final action has been emitted

namespace msm = boost::msm;
using boost::msm::front::none;
using boost::msm::front::Row;

// Guards.
struct needs_claim_guard {
  template <typename event, typename machine, typename from, typename to>
  bool operator()(const event&, machine& m, from&, to&) const
  {
    return m.context->needs_claim();
  }
};

// A transition action that calls `method` of the context.
template <void (lifecycle_context::*method)()> struct call {
  template <typename event, typename machine, typename from, typename to>
  void operator()(const event&, machine& m, from&, to&) const
  {
    (m.context->*method)();
  }
};

template <lifecycle_stage stage> struct stage_state : msm::front::state<> {
  template <typename event, typename machine> void on_entry(const event&, machine& m) const
  {
    m.stage = stage;
  }
};
using received = stage_state<lifecycle_stage::received>;
using claiming = stage_state<lifecycle_stage::claiming>;
using dispatched = stage_state<lifecycle_stage::dispatched>;
using streaming = stage_state<lifecycle_stage::streaming>;
using resuming = stage_state<lifecycle_stage::resuming>;
using moving = stage_state<lifecycle_stage::moving>;
using cancelling = stage_state<lifecycle_stage::cancelling>;
using handing_over = stage_state<lifecycle_stage::handing_over>;
using finished = stage_state<lifecycle_stage::finished>;

struct lifecycle_machine_def : msm::front::state_machine_def<lifecycle_machine_def> {
  using initial_state = received;

  using request_claim = call<&lifecycle_context::claim>;
  using start = call<&lifecycle_context::start_next_attempt>;
  using request_retry = call<&lifecycle_context::ask_for_retry>;
  using export_cache = call<&lifecycle_context::export_cache>;
  using cancel = call<&lifecycle_context::cancel_with_confirmation>;
  using send_handover = call<&lifecycle_context::hand_over_to_peer>;
  using continue_locally = call<&lifecycle_context::resume_after_refused_handover>;

  struct transition_table : boost::mpl::vector<
                                // Columns: stage, trigger, next stage, action, guard. Of two rows
                                // with the same stage and trigger, MSM tries the later one first.
                                Row<received, admitted, dispatched, start, none>,
                                Row<received, admitted, claiming, request_claim, needs_claim_guard>,
                                Row<received, begin_handover, handing_over, send_handover, none>,
                                Row<received, completed, finished, none, none>,

                                Row<claiming, claimed, dispatched, start, none>,
                                Row<claiming, completed, finished, none, none>,

                                Row<dispatched, response_started, streaming, none, none>,
                                Row<dispatched, attempt_lost, resuming, request_retry, none>,
                                Row<dispatched, retry_now, dispatched, start, none>,
                                Row<dispatched, move_kv_cache, moving, export_cache, none>,
                                Row<dispatched, begin_handover, handing_over, send_handover, none>,
                                Row<dispatched, completed, finished, none, none>,

                                Row<streaming, attempt_lost, resuming, request_retry, none>,
                                Row<streaming, retry_now, dispatched, start, none>,
                                Row<streaming, move_kv_cache, moving, export_cache, none>,
                                Row<streaming, begin_handover, handing_over, send_handover, none>,
                                Row<streaming, completed, finished, none, none>,

                                Row<resuming, retry_now, dispatched, start, none>,
                                Row<resuming, begin_handover, handing_over, send_handover, none>,
                                Row<resuming, completed, finished, none, none>,

                                Row<moving, attempt_lost, resuming, request_retry, none>,
                                Row<moving, retry_now, dispatched, start, none>,
                                Row<moving, keep_running, streaming, none, none>,
                                Row<moving, cancel_exported_attempt, cancelling, cancel, none>,
                                Row<moving, begin_handover, handing_over, send_handover, none>,
                                Row<moving, completed, finished, none, none>,

                                Row<cancelling, retry_now, dispatched, start, none>,
                                Row<cancelling, keep_running, streaming, none, none>,
                                Row<cancelling, begin_handover, handing_over, send_handover, none>,
                                Row<cancelling, completed, finished, none, none>,

                                Row<handing_over, keep_running, streaming, continue_locally, none>,
                                Row<handing_over, completed, finished, none, none>> {};

  // Late and repeated triggers are ignored.
  template <typename machine, typename event> void no_transition(const event&, machine&, int) {}

  lifecycle_context* context = nullptr;
  lifecycle_stage stage = lifecycle_stage::received;
};

using lifecycle_machine = msm::back::state_machine<lifecycle_machine_def>;

} // namespace wisteriaflow::requests::internal

#endif // WISTERIAFLOW_REQUESTS_LIFECYCLE_MACHINE_H_
