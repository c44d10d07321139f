// Log lines and metrics of calls: one line for each attempt, and one for each call that the gateway
// answers with an error of its own.

#ifndef WISTERIAFLOW_SRC_RELAY_CALL_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_CALL_LOG_H_

#include <optional>
#include <string>

#include "relay/attempt.h"
#include "relay/fleet_state.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Why a call is refused without having been sent to an endpoint.
struct call_refusal {
  int status = 0;                    // HTTP status of the answer
  std::string reason;                // sent to the caller, logged, and a metric label
  std::optional<mono_time> retry_at; // when the caller may retry; empty: the answer gives no time
  log_fields log_details = {};       // the values that led to the refusal, for the log only
};

// Writes the log lines and counts the metrics of calls. Not thread-safe.
class call_log {
 public:
  explicit call_log(fleet_state& state) : state_(state) {}

  void on_refused(const http::request& received, const call_refusal& why);
  // The call resumes a stream. `details` tell how the version that started it was looked for.
  void on_resumed(const admitted_call& call, log_fields details);
  void on_attempt(const admitted_call& call, const attempt_result& result);
  // An endpoint's answer with `status` is forwarded to the caller.
  void on_answer(const admitted_call& call, int status);
  // The call ends without an endpoint's complete answer. `status` is the HTTP status that is sent,
  // or "cut short" if a stream had begun. `why` tells what prevented a further attempt.
  void on_call_failed(const admitted_call& call, const std::string& status,
                      const routing::no_endpoint& why, mono_time now);
  // The call has no final answer, but the process is about to end.
  void on_open_at_end(const admitted_call& call, mono_time now);

 private:
  void count_answer(const admitted_call& call, const std::string& status);

  fleet_state& state_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CALL_LOG_H_
