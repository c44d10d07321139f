// State machine of one caller's request, from its arrival to exactly one final outcome.
//
// It has no clock and does no I/O: events and the current time go in, actions to perform come out.
// It decides about claims of the idempotency key, attempts on endpoints, retries, resumes after a
// failure, moves away from endpoints that are reclaimed, and handover to a peer. Example:
//
//   request_lifecycle request({.request_id = "r1", .model = "m", .streamed = true});
//   auto actions = request.handle(admission_granted{}, now); // {start_attempt{.attempt = 1}}

#ifndef WISTERIAFLOW_REQUESTS_REQUEST_LIFECYCLE_H_
#define WISTERIAFLOW_REQUESTS_REQUEST_LIFECYCLE_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/requests/request_actions.h"
#include "wisteriaflow/requests/request_events.h"

namespace wisteriaflow::requests {

// Properties of a request and limits for its handling.
struct request_lifecycle_options {
  std::string request_id;
  std::string model;
  bool generation = true; // for a model engine; otherwise for a plain service
  bool idempotent = true; // may be run more than once
  bool keyed = false;     // the answer is kept under the idempotency key; implied if not idempotent
  bool streamed = false;  // the caller gets tokens as they arrive
  bool caller_connected = true;    // false for a request taken over from a peer
  std::uint64_t prompt_tokens = 0; // estimate, for the count of recomputed tokens
  unsigned max_retries = 7;        // per request; attempts after a reclaim notice do not count
  std::size_t max_body_bytes = std::size_t{4} << 20U;              // of a plain service's response
  std::chrono::milliseconds retention = std::chrono::minutes(10);  // how long an answer is kept
  std::chrono::milliseconds retry_after = std::chrono::seconds(1); // default of `retry_at`

  friend bool operator==(const request_lifecycle_options&,
                         const request_lifecycle_options&) = default;
};

// The states of a request; see docs/design/requests.md.
enum class lifecycle_stage {
  received,     // waits for admission
  claiming,     // waits for the claim of its idempotency key
  dispatched,   // an attempt has started, and nothing of the response has arrived
  streaming,    // the response of the current attempt arrives
  resuming,     // an attempt failed; waits for the retry budget and the backoff
  moving,       // waits for the export of the running attempt's KV cache
  cancelling,   // the cache is exported; waits for the confirmed end of its attempt
  handing_over, // waits for the answer of a peer
  finished,     // the final action has been returned
};

class request_lifecycle {
 public:
  explicit request_lifecycle(request_lifecycle_options options);

  // A request handed over by a peer. It starts in stage `received`, and after admission continues
  // from `state`.
  request_lifecycle(request_lifecycle_options options, handed_over_state state);

  ~request_lifecycle();
  request_lifecycle(const request_lifecycle&) = delete;
  request_lifecycle& operator=(const request_lifecycle&) = delete;
  request_lifecycle(request_lifecycle&&) noexcept;
  request_lifecycle& operator=(request_lifecycle&&) noexcept;

  // Processes one event and returns the actions to perform, in order. Events that do not apply to
  // the current stage, or that belong to an older attempt, have no effect and return no actions.
  std::vector<request_action> handle(const request_event& event, const clock_reading& now);

  [[nodiscard]] lifecycle_stage stage() const;

  // Whether the final action has been returned. Later events are ignored.
  [[nodiscard]] bool finished() const { return stage() == lifecycle_stage::finished; }

  // The tokens of the answer so far, in order and each once.
  [[nodiscard]] const std::vector<std::string>& tokens() const;

  // Number of tokens that were, or are being, computed again because of resumed attempts.
  [[nodiscard]] std::uint64_t recomputed_tokens() const;

  // The endpoint of the latest attempt; empty until one is chosen for it.
  [[nodiscard]] const endpoint_id& endpoint() const;

 private:
  class machine;
  std::unique_ptr<machine> machine_;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_REQUEST_LIFECYCLE_H_
