#include "lifecycle_driver.h"

namespace wisteriaflow::requests::internal {
namespace {

constexpr int status_conflict = 409;

} // namespace

void lifecycle_driver::finish_with(const outcome& result)
{
  context.finish_with(result);
  fire(completed{});
}

void lifecycle_driver::on_progress()
{
  if (is_in(lifecycle_stage::dispatched)) {
    context.discard_transfer();
  }
  fire(response_started{});
}

// Handles the end of the running attempt without a complete answer.
void lifecycle_driver::on_attempt_lost(unknown_reason reason)
{
  if (is_in(lifecycle_stage::handing_over)) {
    return; // if the peer refuses the request, another attempt starts here
  }
  if (!context.may_start_attempt()) {
    finish_with(outcome_unknown{reason});
  } else if (context.is_reclaim_announced()) {
    fire(retry_now{}); // a reclaim with notice must not fail the request, even without retry budget
  } else if (context.retries_left()) {
    fire(attempt_lost{});
  } else if (context.endpoint_error() && context.answer().next_offset() == 0) {
    context.finish_with_endpoint_error(*context.endpoint_error());
    fire(completed{});
  } else {
    finish_with(context.outcome_without_answer(refusal_reason::no_endpoint,
                                               unknown_reason::retries_exhausted));
  }
}

void lifecycle_driver::operator()(const admission_granted&)
{
  if (is_in(lifecycle_stage::received) && !context.needs_claim() && !context.may_start_attempt()) {
    finish_with(outcome_unknown{unknown_reason::earlier_run_lost});
    return;
  }
  fire(admitted{});
}

void lifecycle_driver::operator()(const admission_refused& event)
{
  if (!is_in(lifecycle_stage::received)) {
    return;
  }
  if (context.may_have_run()) {
    finish_with(outcome_unknown{unknown_reason::earlier_run_lost});
    return;
  }
  finish_with(refused_not_run{event.reason, event.retry_at, event.message});
}

void lifecycle_driver::operator()(const claim_granted& event)
{
  if (is_in(lifecycle_stage::claiming)) {
    context.set_claim_nonce(event.nonce);
    fire(claimed{});
  }
}

void lifecycle_driver::operator()(const claim_duplicate& event)
{
  if (!is_in(lifecycle_stage::claiming)) {
    return;
  }
  switch (event.state) {
  case duplicate_state::answered_elsewhere:
  case duplicate_state::in_flight_elsewhere:
    context.finish_redirected(event.address);
    fire(completed{});
    break;
  case duplicate_state::outcome_unknown:
    finish_with(outcome_unknown{unknown_reason::earlier_run_lost});
    break;
  case duplicate_state::body_mismatch:
    finish_with(invalid{status_conflict, "Idempotency-Key: was used before with another body"});
    break;
  case duplicate_state::key_too_old:
    finish_with(outcome_unknown{unknown_reason::key_too_old});
    break;
  }
}

void lifecycle_driver::operator()(const claim_unavailable& event)
{
  if (is_in(lifecycle_stage::claiming)) {
    finish_with(refused_not_run{refusal_reason::store_unavailable, event.retry_at, ""});
  }
}

void lifecycle_driver::operator()(const attempt_started& event)
{
  if (context.is_current(event.attempt) && context.endpoint().empty()) {
    context.set_endpoint(event.endpoint);
  }
}

void lifecycle_driver::operator()(const attempt_head& event)
{
  if (context.is_current(event.attempt)) {
    context.record_head(event);
    on_progress();
  }
}

void lifecycle_driver::operator()(const token_arrived& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  const auto result = context.add_token(event);
  on_progress();
  if (result == token_result::gap_too_wide && !is_in(lifecycle_stage::cancelling)) {
    context.abandon_attempt();
    on_attempt_lost(unknown_reason::answer_incomplete);
  }
}

void lifecycle_driver::operator()(const body_arrived& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  if (!context.append_body(event)) {
    finish_with(outcome_unknown{unknown_reason::answer_too_large});
    return;
  }
  on_progress();
}

void lifecycle_driver::operator()(const attempt_finished& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  const bool no_finish_reason = context.options().generation && event.finish_reason.empty();
  const bool tokens_missing =
      context.options().generation && event.tokens > context.answer().next_offset();
  if (!no_finish_reason && !tokens_missing) {
    context.finish_answered(event);
    fire(completed{});
    return;
  }
  if (is_in(lifecycle_stage::cancelling)) {
    context.close_stopped_attempt();
    return;
  }
  context.close_interrupted_attempt();
  on_attempt_lost(no_finish_reason ? unknown_reason::connection_lost
                                   : unknown_reason::answer_incomplete);
}

void lifecycle_driver::operator()(const attempt_failed& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  if (is_in(lifecycle_stage::cancelling)) {
    // Expected after the cancel; the confirmation of the cancel decides what follows.
    context.close_stopped_attempt();
    return;
  }
  context.record_failure(event);
  const bool is_final_response =
      event.kind == failure_kind::endpoint_status && context.answer().next_offset() == 0 &&
      !(context.options().idempotent && lifecycle_context::is_retryable(event.response.status));
  if (is_final_response) {
    context.finish_with_endpoint_error(event.response);
    fire(completed{});
    return;
  }
  on_attempt_lost(event.kind == failure_kind::timed_out ? unknown_reason::timed_out
                                                        : unknown_reason::connection_lost);
}

void lifecycle_driver::operator()(const retry_granted&)
{
  if (is_in(lifecycle_stage::resuming)) {
    fire(retry_now{});
  }
}

void lifecycle_driver::operator()(const retry_denied& event)
{
  if (!is_in(lifecycle_stage::resuming)) {
    return;
  }
  if (context.endpoint_error() && context.answer().next_offset() == 0) {
    context.finish_with_endpoint_error(*context.endpoint_error());
    fire(completed{});
    return;
  }
  finish_with(context.outcome_without_answer(refusal_reason::no_endpoint,
                                             unknown_reason::retries_exhausted, event.retry_at));
}

} // namespace wisteriaflow::requests::internal
