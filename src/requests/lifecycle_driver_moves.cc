// Event handlers for reclaim notices, drains, handover to peers, and callers that disconnect and
// reconnect.

#include "lifecycle_driver.h"

namespace wisteriaflow::requests::internal {

void lifecycle_driver::operator()(const reclaim_announced& event)
{
  if (!context.attempt_open() || event.endpoint.empty() || event.endpoint != context.endpoint()) {
    return;
  }
  context.record_announced_reclaim();
  const bool may_move = is_in(lifecycle_stage::dispatched) || is_in(lifecycle_stage::streaming);
  if (!may_move || !context.options().generation) {
    return;
  }
  switch (choose_move(event.estimate, context.options().idempotent, context.now().mono)) {
  case move_choice::stay:
    break;
  case move_choice::move_kv:
    fire(move_kv_cache{});
    break;
  case move_choice::replay:
    context.abandon_attempt();
    fire(retry_now{});
    break;
  }
}

void lifecycle_driver::operator()(const kv_exported& event)
{
  if (!is_in(lifecycle_stage::moving) || !context.is_current(event.attempt)) {
    return;
  }
  context.record_export(event);
  if (context.options().idempotent) {
    fire(retry_now{});
  } else {
    fire(cancel_exported_attempt{});
  }
}

void lifecycle_driver::operator()(const kv_export_failed& event)
{
  if (!is_in(lifecycle_stage::moving) || !context.is_current(event.attempt)) {
    return;
  }
  context.abandon_move();
  if (context.options().idempotent) {
    context.abandon_attempt();
    fire(retry_now{});
  } else {
    fire(keep_running{});
  }
}

void lifecycle_driver::operator()(const cancel_confirmed& event)
{
  if (!is_in(lifecycle_stage::cancelling) || !context.is_latest(event.attempt)) {
    return;
  }
  context.record_cancel_confirmed();
  if (context.hand_over_after_cancel()) {
    fire(begin_handover{});
  } else {
    fire(retry_now{});
  }
}

void lifecycle_driver::operator()(const cancel_failed& event)
{
  if (!is_in(lifecycle_stage::cancelling) || !context.is_latest(event.attempt)) {
    return;
  }
  context.abandon_move();
  if (context.attempt_open()) {
    fire(keep_running{});
  } else {
    finish_with(outcome_unknown{unknown_reason::connection_lost});
  }
}

void lifecycle_driver::operator()(const caller_disconnected&)
{
  context.record_caller_disconnected();
  if (!context.options().keyed) {
    finish_with(
        context.outcome_without_answer(refusal_reason::caller_gone, unknown_reason::caller_gone));
  }
}

void lifecycle_driver::operator()(const caller_reconnected& event)
{
  context.record_caller_reconnected(event);
}

void lifecycle_driver::operator()(const deadline_passed&)
{
  finish_with(context.outcome_without_answer(refusal_reason::timed_out, unknown_reason::timed_out));
}

void lifecycle_driver::operator()(const drain_started& event)
{
  if (is_in(lifecycle_stage::received) && !context.from_peer()) {
    finish_with(
        context.outcome_without_answer(refusal_reason::draining, unknown_reason::earlier_run_lost));
  } else if (event.hand_over) {
    hand_over_for_drain();
  }
}

void lifecycle_driver::hand_over_for_drain()
{
  if (is_in(lifecycle_stage::claiming) || is_in(lifecycle_stage::handing_over)) {
    return;
  }
  if (is_in(lifecycle_stage::cancelling)) {
    context.request_handover_after_cancel();
    return;
  }
  if (context.options().idempotent || !context.attempt_open()) {
    fire(begin_handover{});
    return;
  }
  if (!context.options().generation) {
    return; // a non-idempotent plain call has one run, which cannot be moved
  }
  context.request_handover_after_cancel();
  fire(move_kv_cache{});
}

void lifecycle_driver::operator()(const handover_accepted& event)
{
  if (is_in(lifecycle_stage::handing_over)) {
    context.finish_redirected(event.address);
    fire(completed{});
  }
}

void lifecycle_driver::operator()(const handover_refused&)
{
  if (!is_in(lifecycle_stage::handing_over)) {
    return;
  }
  if (!context.attempt_open() && !context.may_start_attempt()) {
    finish_with(outcome_unknown{unknown_reason::earlier_run_lost});
    return;
  }
  fire(keep_running{});
}

} // namespace wisteriaflow::requests::internal
