#include "lifecycle_context.h"

#include <utility>

#include "wisteriaflow/requests/completion_render.h"

namespace wisteriaflow::requests::internal {
namespace {

constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

} // namespace

lifecycle_context::lifecycle_context(request_lifecycle_options options, handed_over_state state)
    : options_(std::move(options)), from_peer_(state.attempt > 0), attempt_(state.attempt),
      earlier_attempt_may_have_run_(state.dispatched), claim_nonce_(state.claim_nonce),
      transfer_(std::move(state.transfer)), transfer_usable_(transfer_.has_value()),
      assembler_(std::move(state.tokens)), caller_connected_(options_.caller_connected)
{
  // The caller of a non-idempotent request cannot send it again to learn the outcome, so the
  // outcome is kept.
  options_.keyed = options_.keyed || !options_.idempotent;
}

void lifecycle_context::begin_event(const clock_reading& now)
{
  now_ = now;
  actions_.clear();
}

std::vector<request_action> lifecycle_context::take_actions()
{
  return std::exchange(actions_, {});
}

std::uint64_t lifecycle_context::recomputed_tokens() const
{
  return recomputed_closed_ + recomputed_open_estimate_;
}

bool lifecycle_context::is_current(attempt_number attempt) const
{
  return attempt_open_ && attempt == attempt_;
}

bool lifecycle_context::needs_claim() const
{
  return !options_.idempotent && claim_nonce_ == 0;
}

bool lifecycle_context::is_retryable(int status)
{
  return status == status_too_many_requests || status == status_bad_gateway ||
         status == status_unavailable || status == status_gateway_timeout;
}

bool lifecycle_context::may_start_attempt() const
{
  return options_.idempotent || transfer_usable_ || !earlier_attempt_may_have_run_;
}

bool lifecycle_context::may_have_run() const
{
  return earlier_attempt_may_have_run_ || attempt_open_ || handed_over_;
}

void lifecycle_context::claim()
{
  emit(claim_key{});
}

void lifecycle_context::start_next_attempt()
{
  cancel_open_attempt();
  ++attempt_;
  attempt_open_ = true;
  reclaim_announced_ = false;
  endpoint_ = {};
  body_.clear();
  endpoint_error_.reset();
  assembler_.drop_buffered();
  const auto next = assembler_.next_offset();
  if (transfer_) {
    recomputed_open_estimate_ = next > transfer_->tokens ? next - transfer_->tokens : 0;
  } else {
    recomputed_open_estimate_ = next > 0 ? options_.prompt_tokens + next : 0;
  }
  emit(start_attempt{.attempt = attempt_,
                     .exclude = excluded_,
                     .resume_tokens = next,
                     .resume_text = assembler_.text(),
                     .transfer = transfer_});
}

void lifecycle_context::ask_for_retry()
{
  ++retries_;
  emit(ask_retry{attempt_});
}

void lifecycle_context::export_cache()
{
  emit(export_kv{.attempt = attempt_, .from = endpoint_});
}

void lifecycle_context::cancel_with_confirmation()
{
  emit(cancel_attempt{.attempt = attempt_, .confirm = true});
}

void lifecycle_context::hand_over_to_peer()
{
  handed_over_ = true;
  hand_over_after_cancel_ = false;
  emit(hand_over{handed_over_state{.attempt = attempt_,
                                   .tokens = assembler_.tokens(),
                                   .dispatched = earlier_attempt_may_have_run_ || attempt_open_,
                                   .claim_nonce = claim_nonce_,
                                   .transfer = transfer_}});
}

void lifecycle_context::resume_after_refused_handover()
{
  handed_over_ = false;
  if (!attempt_open_) {
    start_next_attempt();
  }
}

void lifecycle_context::set_endpoint(const endpoint_id& endpoint)
{
  endpoint_ = endpoint;
}

void lifecycle_context::record_announced_reclaim()
{
  reclaim_announced_ = true;
  excluded_.insert(endpoint_);
}

void lifecycle_context::record_export(const kv_exported& event)
{
  transfer_ = kv_transfer{.handle = event.handle, .from = endpoint_, .tokens = event.tokens};
  transfer_usable_ = false;
}

void lifecycle_context::record_cancel_confirmed()
{
  transfer_usable_ = true;
  close_attempt();
}

void lifecycle_context::abandon_move()
{
  transfer_.reset();
  transfer_usable_ = false;
  hand_over_after_cancel_ = false;
}

void lifecycle_context::discard_transfer()
{
  transfer_.reset();
  transfer_usable_ = false;
}

void lifecycle_context::record_failure(const attempt_failed& event)
{
  const bool nothing_sent =
      event.kind == failure_kind::no_endpoint || event.kind == failure_kind::connect_failed;
  if (nothing_sent) {
    attempt_open_ = false;
    recomputed_open_estimate_ = 0;
  } else {
    close_interrupted_attempt();
  }
  if (event.kind == failure_kind::endpoint_status) {
    endpoint_error_ = event.response;
  }
}

void lifecycle_context::close_interrupted_attempt()
{
  // A KV cache handle can be imported only once.
  transfer_.reset();
  transfer_usable_ = false;
  close_attempt();
}

void lifecycle_context::abandon_attempt()
{
  cancel_open_attempt();
  transfer_.reset();
  transfer_usable_ = false;
}

void lifecycle_context::close_attempt()
{
  attempt_open_ = false;
  earlier_attempt_may_have_run_ = true;
  recomputed_closed_ += std::exchange(recomputed_open_estimate_, 0);
  if (!endpoint_.empty()) {
    excluded_.insert(endpoint_);
  }
}

void lifecycle_context::cancel_open_attempt()
{
  if (!attempt_open_) {
    return;
  }
  emit(cancel_attempt{.attempt = attempt_});
  close_attempt();
}

token_result lifecycle_context::add_token(const token_arrived& event)
{
  const auto result = assembler_.accept(event.offset, event.text);
  if (result == token_result::appended) {
    send_new_tokens();
  }
  return result;
}

bool lifecycle_context::append_body(const body_arrived& event)
{
  if (body_.size() + event.bytes.size() > options_.max_body_bytes) {
    return false;
  }
  body_ += event.bytes;
  return true;
}

void lifecycle_context::record_caller_reconnected(const caller_reconnected& event)
{
  caller_connected_ = true;
  head_sent_ = false;
  caller_next_offset_ = event.last_offset ? *event.last_offset + 1 : 0;
  if (assembler_.next_offset() > 0) {
    send_new_tokens();
  }
}

void lifecycle_context::send_new_tokens()
{
  if (!options_.streamed || !caller_connected_) {
    return;
  }
  send_stream_head();
  for (; caller_next_offset_ < assembler_.next_offset(); ++caller_next_offset_) {
    emit(send_token{.offset = caller_next_offset_,
                    .text = assembler_.tokens()[caller_next_offset_]});
  }
}

void lifecycle_context::send_stream_head()
{
  if (head_sent_) {
    return;
  }
  head_sent_ = true;
  emit(send_head{.status = status_ok, .fields = {{"Content-Type", "text/event-stream"}}});
}

// `resend_is_better`: a caller that sends an idempotent request again under its key should have it
// run again instead of getting the same result from the store.
void lifecycle_context::emit_keep_answer(bool resend_is_better)
{
  if (options_.keyed && !(resend_is_better && options_.idempotent)) {
    emit(keep_answer{now_.wall + options_.retention});
  }
}

void lifecycle_context::finish_with(const outcome& result)
{
  cancel_open_attempt();
  if (std::holds_alternative<outcome_unknown>(result)) {
    emit_keep_answer(true);
  }
  emit(finish{.result = result, .head_sent = head_sent_});
}

void lifecycle_context::finish_answered(const attempt_finished& event)
{
  attempt_open_ = false;
  recomputed_closed_ +=
      event.usage.recomputed_tokens > 0 ? event.usage.recomputed_tokens : recomputed_open_estimate_;
  recomputed_open_estimate_ = 0;
  auto usage = event.usage;
  usage.recomputed_tokens = recomputed_closed_;
  int status = status_ok;
  if (!options_.generation) {
    status = head_ ? head_->status : status_ok;
    emit(
        send_head{.status = status, .fields = head_ ? head_->fields : std::vector<header_field>{}});
    emit(send_body{std::move(body_)});
    head_sent_ = true;
  } else if (options_.streamed) {
    usage.completion_tokens = assembler_.next_offset();
    if (caller_connected_) {
      send_stream_head();
    }
  } else {
    usage.completion_tokens = assembler_.next_offset();
    emit(send_head{.status = status_ok, .fields = {{"Content-Type", "application/json"}}});
    emit(send_body{render_completion_response({.request_id = options_.request_id,
                                               .model = options_.model,
                                               .text = assembler_.text(),
                                               .finish_reason = event.finish_reason,
                                               .usage = usage})});
    head_sent_ = true;
  }
  emit_keep_answer(false);
  emit(finish{.result = answered{status},
              .head_sent = head_sent_,
              .finish_reason = event.finish_reason,
              .usage = usage});
}

void lifecycle_context::finish_with_endpoint_error(const response_parts& response)
{
  emit(send_head{.status = response.status, .fields = response.fields});
  emit(send_body{response.body});
  emit_keep_answer(is_retryable(response.status));
  emit(finish{.result = answered{response.status}, .head_sent = true});
}

void lifecycle_context::finish_redirected(const std::string& address)
{
  cancel_open_attempt();
  emit(redirect{address});
}

outcome lifecycle_context::outcome_without_answer(refusal_reason if_not_run,
                                                  unknown_reason if_unknown,
                                                  std::optional<wall_time> retry_at) const
{
  if (may_have_run()) {
    return outcome_unknown{if_unknown};
  }
  return refused_not_run{.reason = if_not_run,
                         .retry_at = retry_at.value_or(now_.wall + options_.retry_after)};
}

} // namespace wisteriaflow::requests::internal
