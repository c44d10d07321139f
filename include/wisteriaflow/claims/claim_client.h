// The executor's side of one claim: a state machine that sends the claim to the shard's owner until
// it is granted, is held by another executor, or is given up. Its final action says what to do with
// the request.
//
// After it has given up it never dispatches the request, whatever arrives later, so the executor
// may answer "not run" to a peer's RequestQuery for this nonce. An executor that does not know a
// nonce, for example after a restart, must answer "outcome unknown".
//
//   claim_client client({.request = request, .deadline = deadline, .seed = random});
//   for (const auto& action : client.handle(claim_started{}, now)) { … }

#ifndef WISTERIAFLOW_CLAIMS_CLAIM_CLIENT_H_
#define WISTERIAFLOW_CLAIMS_CLAIM_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/claims/claim.h"

namespace wisteriaflow::claims {

// The state that another executor reports for a request; mirrors RequestState of the peer protocol.
enum class execution_state {
  in_flight,
  answered,
  not_run, // and never will be under this nonce
  outcome_unknown,
};

// Starts the claim; must be the first event.
struct claim_started {};
// The claim got no reply.
struct claim_unanswered {};
// An executor's answer to query_executor.
struct executor_answered {
  execution_state state = execution_state::outcome_unknown;
};
// query_executor got no answer.
struct query_unanswered {};
// Time has passed; due at claim_client::wake_at().
struct claim_tick {};
// The executor gives the request up, for example because the caller has cancelled it.
struct claim_cancelled {};

using claim_client_event =
    std::variant<claim_started, claim_reply, claim_unanswered, executor_answered, query_unanswered,
                 claim_tick, claim_cancelled>;

// Send the claim to `owner`, or if that is empty, to the preferred owner of the shard.
struct send_claim {
  daemon_id owner;
  claim_request request;
};

// Query another executor for the outcome of the request that it claimed under `nonce`.
struct query_executor {
  daemon_id executor;
  hash128 key;
  std::uint64_t nonce = 0;
};

// Final: run the request now. Returned at most once, and never after the deadline.
struct dispatch_claimed {
  std::uint64_t nonce = 0;
};

// Final: another executor is running the request or has stored its answer.
struct follow_executor {
  daemon_id executor;
  std::uint64_t nonce = 0;
  execution_state state = execution_state::in_flight;
};

enum class refusal_reason { deadline_passed, unavailable, cancelled };

// Final: the request was not run under this nonce and never will be. `key_free` says whether in
// addition no other claim of the key is known; if it is false, an earlier submission of the key may
// have run.
struct refuse_claim {
  refusal_reason reason = refusal_reason::unavailable;
  bool key_free = false;
};

// Final: the request was run, or may have been run, under a claim whose outcome cannot be
// determined.
struct report_outcome_unknown {};

// Final: the key was used with another body.
struct report_body_mismatch {};

using claim_client_action =
    std::variant<send_claim, query_executor, dispatch_claimed, follow_executor, refuse_claim,
                 report_outcome_unknown, report_body_mismatch>;

struct claim_client_options {
  claim_request request;
  mono_time deadline;
  claim_settings settings;
  std::uint64_t seed = 0;
};

class claim_client {
 public:
  explicit claim_client(claim_client_options options);
  claim_client(const claim_client&) = delete;
  claim_client& operator=(const claim_client&) = delete;
  claim_client(claim_client&&) noexcept;
  claim_client& operator=(claim_client&&) noexcept;
  ~claim_client();

  // Handles one event and returns the actions to carry out.
  [[nodiscard]] std::vector<claim_client_action> handle(const claim_client_event& event,
                                                        clock_reading now);

  // When the next tick is due; nothing once a final action was returned.
  [[nodiscard]] std::optional<mono_time> wake_at() const;

  // Whether a final action was returned.
  [[nodiscard]] bool finished() const;

  // Whether the request was dispatched under this claim. If the client has finished without a
  // dispatch, the request will never be dispatched.
  [[nodiscard]] bool dispatched() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_CLAIM_CLIENT_H_
