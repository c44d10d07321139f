// Handlers of the events that move a request: reclaims, drains and callers that come and go.

#include "life_driver.h"

namespace wisteriaflow::requests::internal {

void life_driver::operator()(const endpoint_leaving& event)
{
  if (!context.attempt_open() || event.endpoint.empty() || event.endpoint != context.endpoint()) {
    return;
  }
  context.note_announced_reclaim();
  const bool may_move = in(life_stage::dispatched) || in(life_stage::streaming);
  if (!may_move || !context.options().generation) {
    return;
  }
  switch (choose_move(event.estimate, context.options().idempotent, context.now().mono)) {
  case move_choice::stay:
    break;
  case move_choice::move_kv:
    take(move_cache{});
    break;
  case move_choice::replay:
    context.abandon_attempt();
    take(restart{});
    break;
  }
}

void life_driver::operator()(const kv_exported& event)
{
  if (!in(life_stage::moving) || !context.is_current(event.attempt)) {
    return;
  }
  context.note_export(event);
  if (context.options().idempotent) {
    take(restart{});
  } else {
    take(cancel_run{});
  }
}

void life_driver::operator()(const kv_export_failed& event)
{
  if (!in(life_stage::moving) || !context.is_current(event.attempt)) {
    return;
  }
  context.note_move_failed();
  if (context.options().idempotent) {
    context.abandon_attempt();
    take(restart{});
  } else {
    take(stay{});
  }
}

void life_driver::operator()(const cancel_confirmed& event)
{
  if (!in(life_stage::cancelling) || !context.is_last(event.attempt)) {
    return;
  }
  context.note_cancel_confirmed();
  if (context.wants_hand_over()) {
    take(give_to_peer{});
  } else {
    take(restart{});
  }
}

void life_driver::operator()(const cancel_failed& event)
{
  if (!in(life_stage::cancelling) || !context.is_last(event.attempt)) {
    return;
  }
  context.note_move_failed();
  if (context.attempt_open()) {
    take(stay{});
  } else {
    end(outcome_unknown{unknown_reason::connection_lost});
  }
}

void life_driver::operator()(const caller_gone&)
{
  context.note_caller_gone();
  if (!context.options().keyed) {
    end(context.give_up(refusal_reason::caller_gone, unknown_reason::caller_gone));
  }
}

void life_driver::operator()(const caller_back& event)
{
  context.note_caller_back(event);
}

void life_driver::operator()(const deadline_passed&)
{
  end(context.give_up(refusal_reason::timed_out, unknown_reason::timed_out));
}

void life_driver::operator()(const drain_started& event)
{
  if (in(life_stage::received) && !context.from_peer()) {
    end(context.give_up(refusal_reason::draining, unknown_reason::earlier_run_lost));
  } else if (event.hand_over) {
    drain_to_peer();
  }
}

void life_driver::drain_to_peer()
{
  if (in(life_stage::claiming) || in(life_stage::handing_over)) {
    return;
  }
  if (in(life_stage::cancelling)) {
    context.note_hand_over_after_cancel();
    return;
  }
  if (context.options().idempotent || !context.attempt_open()) {
    take(give_to_peer{});
    return;
  }
  if (!context.options().generation) {
    return; // the one run of a plain call can only end here
  }
  context.note_hand_over_after_cancel();
  take(move_cache{});
}

void life_driver::operator()(const handover_accepted& event)
{
  if (in(life_stage::handing_over)) {
    context.end_redirected(event.address);
    take(stop{});
  }
}

void life_driver::operator()(const handover_refused&)
{
  if (!in(life_stage::handing_over)) {
    return;
  }
  if (!context.attempt_open() && !context.may_start()) {
    end(outcome_unknown{unknown_reason::earlier_run_lost});
    return;
  }
  take(stay{});
}

} // namespace wisteriaflow::requests::internal
