// What the log and the metrics say of a call: one line for each attempt, and one for each answer of
// the gateway's own.

#ifndef WISTERIAFLOW_SRC_RELAY_CALL_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_CALL_LOG_H_

#include <optional>
#include <string>

#include "relay/attempt.h"
#include "relay/fleet_state.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Why a call is refused that no endpoint got.
struct call_refusal {
  int status = 0;
  std::string reason;
  std::optional<mono_time> retry_at;
  log_fields inputs = {}; // what decided it, for the log
};

// Not thread-safe.
class call_log {
 public:
  explicit call_log(fleet_state& state) : state_(state) {}

  void on_refused(const http::request& received, const call_refusal& why);
  void on_attempt(const admitted_call& call, const attempt_result& result);
  // An endpoint's answer is passed on.
  void on_answer(const admitted_call& call, int status);
  // `status` is the answer's, or says how the answer that had begun ends. `why`: what stood in the
  // way of a further attempt.
  void on_given_up(const admitted_call& call, const std::string& status,
                   const routing::no_endpoint& why, mono_time now);

 private:
  void count_answer(const admitted_call& call, const std::string& status);

  fleet_state& state_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CALL_LOG_H_
