// The data of a request's life and the steps that its state machine takes on it.
//
// The machine says in which stage a step may happen; the context knows the attempts, the tokens
// and what the caller has, and writes the actions.

#ifndef WISTERIAFLOW_REQUESTS_LIFE_CONTEXT_H_
#define WISTERIAFLOW_REQUESTS_LIFE_CONTEXT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriaflow/requests/request_life.h"
#include "wisteriaflow/requests/stream_assembler.h"

namespace wisteriaflow::requests::internal {

class life_context {
 public:
  life_context(request_life_options options, handed_over_state state);

  // Starts collecting the actions of one event.
  void begin(const clock_reading& now);
  std::vector<request_action> take_actions();

  // Facts that guards and visitors ask for.
  [[nodiscard]] const request_life_options& options() const { return options_; }
  [[nodiscard]] const clock_reading& now() const { return now_; }
  [[nodiscard]] const stream_assembler& answer() const { return assembler_; }
  [[nodiscard]] const endpoint_id& endpoint() const { return endpoint_; }
  [[nodiscard]] std::uint64_t recomputed_tokens() const;
  [[nodiscard]] bool is_current(attempt_number attempt) const;
  [[nodiscard]] bool attempt_open() const { return attempt_open_; }
  [[nodiscard]] bool needs_claim() const;
  [[nodiscard]] bool announced() const { return announced_; }
  [[nodiscard]] bool retries_left() const { return retries_ < options_.max_retries; }
  [[nodiscard]] bool from_peer() const { return from_peer_; }
  [[nodiscard]] bool is_last(attempt_number attempt) const { return attempt == attempt_; }
  [[nodiscard]] bool wants_hand_over() const { return hand_over_after_cancel_; }
  [[nodiscard]] const std::optional<response_parts>& endpoint_error() const { return error_; }

  // Whether another endpoint, or a later try, may well answer what this status refused.
  [[nodiscard]] static bool is_retryable(int status);

  // Whether a further attempt can be no second run of a non-idempotent request.
  [[nodiscard]] bool may_start() const;

  // Whether bytes of the request can have reached an endpoint that might run it.
  [[nodiscard]] bool may_have_run() const;

  // Steps of the machine.
  void claim();
  void start();
  void ask_for_retry();
  void export_cache();
  void cancel_with_confirmation();
  void hand_over_to_peer();
  void resume_after_hand_over();

  // Notes of what happened; none of them writes a final action.
  void note_claim(std::uint64_t nonce) { claim_nonce_ = nonce; }
  void note_endpoint(const endpoint_id& endpoint);
  void note_announced_reclaim();
  void note_hand_over_after_cancel() { hand_over_after_cancel_ = true; }
  void note_export(const kv_exported& event);
  void note_cancel_confirmed();
  void note_move_failed();
  void note_import_used();
  void note_failure(const attempt_failed& event);
  void note_head(const attempt_head& event) { head_ = event; }
  void note_broken();
  void note_stopped() { close_attempt(); }
  void abandon_attempt();
  chunk_result note_token(const token_arrived& event);
  [[nodiscard]] bool note_body(const body_arrived& event);
  void note_caller_gone() { caller_connected_ = false; }
  void note_caller_back(const caller_back& event);

  // Final actions: exactly one of them is called, once.
  void end(const outcome& result);
  void end_answered(const attempt_finished& event);
  void end_with_endpoint_error(const response_parts& response);
  void end_redirected(const std::string& address);

  // The outcome when no further attempt can be made: not run if that is certain.
  [[nodiscard]] outcome give_up(refusal_reason if_not_run, unknown_reason if_unknown,
                                std::optional<wall_time> retry_at = std::nullopt) const;

 private:
  void emit(request_action action) { actions_.push_back(std::move(action)); }
  void close_attempt();
  void cancel_open_attempt();
  void send_new_tokens();
  void send_stream_head();
  void keep(bool repeatable);

  request_life_options options_;
  clock_reading now_{};
  std::vector<request_action> actions_;

  // Attempts.
  bool from_peer_;
  attempt_number attempt_ = 0;
  unsigned retries_ = 0;
  bool attempt_open_ = false;
  bool ran_ = false; // an attempt that is over may have run
  bool announced_ = false;
  endpoint_id endpoint_;
  std::set<endpoint_id> excluded_;
  std::uint64_t claim_nonce_ = 0;
  std::optional<response_parts> error_;

  // Moves.
  std::optional<kv_transfer> transfer_;
  bool transfer_usable_ = false; // the run it continues is surely cancelled
  bool hand_over_after_cancel_ = false;
  bool handed_over_ = false; // a peer may have the request
  std::uint64_t recomputed_ = 0;
  std::uint64_t recomputed_estimate_ = 0; // of the open attempt, until the engine reports

  // The answer and the caller.
  stream_assembler assembler_;
  std::string body_;
  std::optional<attempt_head> head_;
  bool caller_connected_;
  bool head_sent_ = false;
  std::uint64_t caller_next_ = 0;
};

} // namespace wisteriaflow::requests::internal

#endif // WISTERIAFLOW_REQUESTS_LIFE_CONTEXT_H_
