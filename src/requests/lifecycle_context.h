// The state of one request other than its stage, and the operations of its state machine on it.
//
// The state machine (lifecycle_machine.h) defines in which stage an operation may happen. The
// context keeps the attempts, the tokens and what the caller has received, and emits the actions.

#ifndef WISTERIAFLOW_REQUESTS_LIFECYCLE_CONTEXT_H_
#define WISTERIAFLOW_REQUESTS_LIFECYCLE_CONTEXT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriaflow/requests/request_lifecycle.h"
#include "wisteriaflow/requests/stream_assembler.h"

namespace wisteriaflow::requests::internal {

class lifecycle_context {
 public:
  lifecycle_context(request_lifecycle_options options, handed_over_state state);

  // Starts the processing of one event; `take_actions` returns the actions that it emits.
  void begin_event(const clock_reading& now);
  std::vector<request_action> take_actions();

  // Queries, for the machine's guards and the event handlers.
  [[nodiscard]] const request_lifecycle_options& options() const { return options_; }
  [[nodiscard]] const clock_reading& now() const { return now_; }
  [[nodiscard]] const stream_assembler& answer() const { return assembler_; }
  [[nodiscard]] const endpoint_id& endpoint() const { return endpoint_; }
  [[nodiscard]] std::uint64_t recomputed_tokens() const;
  [[nodiscard]] bool is_current(attempt_number attempt) const;
  [[nodiscard]] bool attempt_open() const { return attempt_open_; }
  [[nodiscard]] bool needs_claim() const;
  [[nodiscard]] bool is_reclaim_announced() const { return reclaim_announced_; }
  [[nodiscard]] bool retries_left() const { return retries_ < options_.max_retries; }
  [[nodiscard]] bool from_peer() const { return from_peer_; }
  [[nodiscard]] bool is_latest(attempt_number attempt) const { return attempt == attempt_; }
  [[nodiscard]] bool hand_over_after_cancel() const { return hand_over_after_cancel_; }
  [[nodiscard]] const std::optional<response_parts>& endpoint_error() const
  {
    return endpoint_error_;
  }

  // Whether another endpoint, or a later attempt, may succeed after an endpoint's error `status`.
  [[nodiscard]] static bool is_retryable(int status);

  // Whether another attempt is allowed: it must not be a second run of a non-idempotent request.
  [[nodiscard]] bool may_start_attempt() const;

  // Whether bytes of the request may have reached an endpoint that could run it.
  [[nodiscard]] bool may_have_run() const;

  // Actions of the machine's transitions.
  void claim();
  void start_next_attempt();
  void ask_for_retry();
  void export_cache();
  void cancel_with_confirmation();
  void hand_over_to_peer();
  void resume_after_refused_handover();

  // Updates for events; none of them emits a final action.
  void set_claim_nonce(std::uint64_t nonce) { claim_nonce_ = nonce; }
  void set_endpoint(const endpoint_id& endpoint);
  void record_announced_reclaim();
  void request_handover_after_cancel() { hand_over_after_cancel_ = true; }
  void record_export(const kv_exported& event);
  void record_cancel_confirmed();
  void abandon_move();
  void discard_transfer();
  void record_failure(const attempt_failed& event);
  void record_head(const attempt_head& event) { head_ = event; }
  void close_interrupted_attempt();
  void close_stopped_attempt() { close_attempt(); }
  void abandon_attempt();
  token_result add_token(const token_arrived& event);
  [[nodiscard]] bool append_body(const body_arrived& event);
  void record_caller_disconnected() { caller_connected_ = false; }
  void record_caller_reconnected(const caller_reconnected& event);

  // Final actions: exactly one of these is called per request, once.
  void finish_with(const outcome& result);
  void finish_answered(const attempt_finished& event);
  void finish_with_endpoint_error(const response_parts& response);
  void finish_redirected(const std::string& address);

  // The outcome of a request that ends without an answer: refused if it has certainly not run, else
  // unknown. `retry_at` defaults to `retry_after` from now.
  [[nodiscard]] outcome
  outcome_without_answer(refusal_reason if_not_run, unknown_reason if_unknown,
                         std::optional<wall_time> retry_at = std::nullopt) const;

 private:
  void emit(request_action action) { actions_.push_back(std::move(action)); }
  void close_attempt();
  void cancel_open_attempt();
  void send_new_tokens();
  void send_stream_head();
  void emit_keep_answer(bool resend_is_better);

  request_lifecycle_options options_;
  clock_reading now_{};
  std::vector<request_action> actions_;

  // Attempts.
  bool from_peer_;
  attempt_number attempt_ = 0;
  unsigned retries_ = 0;
  bool attempt_open_ = false;
  bool earlier_attempt_may_have_run_ = false;
  bool reclaim_announced_ = false;
  endpoint_id endpoint_;
  std::set<endpoint_id> excluded_;
  std::uint64_t claim_nonce_ = 0;
  std::optional<response_parts> endpoint_error_;

  // Moves to another endpoint and handover.
  std::optional<kv_transfer> transfer_;
  bool transfer_usable_ = false; // the attempt that it was exported from is confirmed as cancelled
  bool hand_over_after_cancel_ = false;
  bool handed_over_ = false;            // a peer may have taken over the request
  std::uint64_t recomputed_closed_ = 0; // of the attempts that have ended
  // Estimate for the open attempt, until the engine reports its count.
  std::uint64_t recomputed_open_estimate_ = 0;

  // The answer, and what the caller has received.
  stream_assembler assembler_;
  std::string body_; // of a plain service's response
  std::optional<attempt_head> head_;
  bool caller_connected_;
  bool head_sent_ = false;
  std::uint64_t caller_next_offset_ = 0; // of the next token to send to the caller
};

} // namespace wisteriaflow::requests::internal

#endif // WISTERIAFLOW_REQUESTS_LIFECYCLE_CONTEXT_H_
