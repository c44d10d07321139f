// Classifies the outcome of an attempt, and decides whether a call is retried and with which status
// it finally fails.
//
// The guarantee behind "not run" is implemented here alone: a request counts as not run only if no
// byte of it left this process, or if the endpoint that received it said so.
//
//   history = record_attempt(history, classify_answer(head, request_id));
//   if (!may_retry(route, history)) {
//     ... fail the call with final_status(history) ...
//   }

#ifndef WISTERIAFLOW_GATEWAY_ATTEMPT_OUTCOME_H_
#define WISTERIAFLOW_GATEWAY_ATTEMPT_OUTCOME_H_

#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/configuration.h"

namespace wisteriaflow::gateway {

// Outcome of one attempt.
enum class attempt_outcome {
  answered,        // a valid answer, forwarded to the caller
  not_run,         // certainly not run: may be retried, and refused as not run
  failed,          // may have run: an error answer, forwarded unless the call may be retried
  no_valid_answer, // may have run, and there is no valid answer to forward
};

// Classifies the head of a complete or streamed answer to the request `request_id`.
[[nodiscard]] attempt_outcome classify_answer(const answer_head& head,
                                              const std::string& request_id);

// Result of a call's attempts so far; determines the final status if the call fails.
struct attempt_history {
  unsigned sent = 0; // attempts of which at least one byte reached an endpoint
  bool may_have_run = false;
  bool timed_out = false;

  friend bool operator==(const attempt_history&, const attempt_history&) = default;
};

// Returns `history` with one more attempt that ended with `outcome`.
[[nodiscard]] attempt_history record_attempt(attempt_history history, attempt_outcome outcome);

// HTTP status of a call that has failed: 503 only if it has certainly not run.
[[nodiscard]] int final_status(const attempt_history& history);

// Whether a call on route `r` may be sent to another endpoint after `history`.
[[nodiscard]] bool may_retry(const route& r, const attempt_history& history);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ATTEMPT_OUTCOME_H_
