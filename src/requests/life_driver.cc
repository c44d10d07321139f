#include "life_driver.h"

namespace wisteriaflow::requests::internal {
namespace {

constexpr int status_conflict = 409;

} // namespace

void life_driver::end(const outcome& result)
{
  context.end(result);
  take(stop{});
}

void life_driver::progress()
{
  if (in(life_stage::dispatched)) {
    context.note_import_used();
  }
  take(progressed{});
}

// The running attempt is over without an answer.
void life_driver::lost(unknown_reason reason)
{
  if (in(life_stage::handing_over)) {
    return; // the peer decides; if it refuses, another attempt is made here
  }
  if (!context.may_start()) {
    end(outcome_unknown{reason});
  } else if (context.announced()) {
    take(restart{}); // an announced reclaim must not hurt, whatever the retry budget
  } else if (context.retries_left()) {
    take(attempt_lost{});
  } else if (context.endpoint_error() && context.answer().next_offset() == 0) {
    context.end_with_endpoint_error(*context.endpoint_error());
    take(stop{});
  } else {
    end(context.give_up(refusal_reason::no_endpoint, unknown_reason::retries_exhausted));
  }
}

void life_driver::operator()(const admission_granted&)
{
  if (in(life_stage::received) && !context.needs_claim() && !context.may_start()) {
    end(outcome_unknown{unknown_reason::earlier_run_lost});
    return;
  }
  take(admit{});
}

void life_driver::operator()(const admission_refused& event)
{
  if (!in(life_stage::received)) {
    return;
  }
  if (context.may_have_run()) {
    end(outcome_unknown{unknown_reason::earlier_run_lost});
    return;
  }
  end(refused_not_run{event.reason, event.retry_at, event.message});
}

void life_driver::operator()(const claim_granted& event)
{
  if (in(life_stage::claiming)) {
    context.note_claim(event.nonce);
    take(claimed{});
  }
}

void life_driver::operator()(const claim_duplicate& event)
{
  if (!in(life_stage::claiming)) {
    return;
  }
  switch (event.state) {
  case duplicate_state::answered_elsewhere:
  case duplicate_state::in_flight_elsewhere:
    context.end_redirected(event.address);
    take(stop{});
    break;
  case duplicate_state::outcome_unknown:
    end(outcome_unknown{unknown_reason::earlier_run_lost});
    break;
  case duplicate_state::body_mismatch:
    end(invalid{status_conflict, "Idempotency-Key: was used before with another body"});
    break;
  case duplicate_state::key_too_old:
    end(outcome_unknown{unknown_reason::key_too_old});
    break;
  }
}

void life_driver::operator()(const claim_unavailable& event)
{
  if (in(life_stage::claiming)) {
    end(refused_not_run{refusal_reason::store_unavailable, event.retry_at, ""});
  }
}

void life_driver::operator()(const attempt_started& event)
{
  if (context.is_current(event.attempt) && context.endpoint().empty()) {
    context.note_endpoint(event.endpoint);
  }
}

void life_driver::operator()(const attempt_head& event)
{
  if (context.is_current(event.attempt)) {
    context.note_head(event);
    progress();
  }
}

void life_driver::operator()(const token_arrived& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  const auto result = context.note_token(event);
  progress();
  if (result == chunk_result::gap_too_wide && !in(life_stage::cancelling)) {
    context.abandon_attempt();
    lost(unknown_reason::answer_incomplete);
  }
}

void life_driver::operator()(const body_arrived& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  if (!context.note_body(event)) {
    end(outcome_unknown{unknown_reason::answer_too_large});
    return;
  }
  progress();
}

void life_driver::operator()(const attempt_finished& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  const bool cut = context.options().generation && event.finish_reason.empty();
  const bool short_of_tokens =
      context.options().generation && event.tokens > context.answer().next_offset();
  if (!cut && !short_of_tokens) {
    context.end_answered(event);
    take(stop{});
    return;
  }
  if (in(life_stage::cancelling)) {
    context.note_stopped();
    return;
  }
  context.note_broken();
  lost(cut ? unknown_reason::connection_lost : unknown_reason::answer_incomplete);
}

void life_driver::operator()(const attempt_failed& event)
{
  if (!context.is_current(event.attempt)) {
    return;
  }
  if (in(life_stage::cancelling)) {
    context.note_stopped(); // what the cancel is expected to do; its confirmation decides
    return;
  }
  context.note_failure(event);
  const bool is_answer =
      event.kind == failure_kind::endpoint_status && context.answer().next_offset() == 0 &&
      !(context.options().idempotent && life_context::is_retryable(event.response.status));
  if (is_answer) {
    context.end_with_endpoint_error(event.response);
    take(stop{});
    return;
  }
  lost(event.kind == failure_kind::timed_out ? unknown_reason::timed_out
                                             : unknown_reason::connection_lost);
}

void life_driver::operator()(const retry_granted&)
{
  if (in(life_stage::resuming)) {
    take(restart{});
  }
}

void life_driver::operator()(const retry_denied& event)
{
  if (!in(life_stage::resuming)) {
    return;
  }
  if (context.endpoint_error() && context.answer().next_offset() == 0) {
    context.end_with_endpoint_error(*context.endpoint_error());
    take(stop{});
    return;
  }
  end(context.give_up(refusal_reason::no_endpoint, unknown_reason::retries_exhausted,
                      event.retry_at));
}

} // namespace wisteriaflow::requests::internal
