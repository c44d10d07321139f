// What is to be done with an endpoint's answer or its failure.
//
// The rules that keep "not run" true are here and nowhere else: a request counts as not run only
// if no byte of it left this process, or the endpoint that got it said so.

#ifndef WISTERIAFLOW_GATEWAY_ANSWER_VERDICT_H_
#define WISTERIAFLOW_GATEWAY_ANSWER_VERDICT_H_

#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/configuration.h"

namespace wisteriaflow::gateway {

// How one attempt ended.
enum class attempt_outcome {
  answered, // the endpoint's own answer, to be passed on
  not_run,  // certainly not run: may be sent again, and refused as not run
  failed,   // may have run: an endpoint's failure that is passed on unless the call may repeat
  broken,   // may have run, and there is no answer that can be passed on
};

// Judges the head of a whole or streamed answer to the request `request_id`.
[[nodiscard]] attempt_outcome judge(const answer_head& head, const std::string& request_id);

// What a call has been through so far; decides its final status if it is given up.
struct attempt_history {
  unsigned sent = 0; // attempts of which an endpoint got at least a byte
  bool may_have_run = false;
  bool timed_out = false;

  friend bool operator==(const attempt_history&, const attempt_history&) = default;
};

// Notes that an attempt ended with `outcome`.
[[nodiscard]] attempt_history after(attempt_history history, attempt_outcome outcome);

// The status of a call that is given up: 503 only if it has certainly not run.
[[nodiscard]] int final_status(const attempt_history& history);

// Whether a call of `r` may be sent to another endpoint after `history`.
[[nodiscard]] bool may_send_again(const route& r, const attempt_history& history);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ANSWER_VERDICT_H_
