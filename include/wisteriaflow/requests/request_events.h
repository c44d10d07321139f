// What can happen to a request, as told to its `request_life`.
//
// Events that belong to an attempt carry its number: those of an older attempt are ignored.

#ifndef WISTERIAFLOW_REQUESTS_REQUEST_EVENTS_H_
#define WISTERIAFLOW_REQUESTS_REQUEST_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/requests/move_choice.h"
#include "wisteriaflow/requests/outcome.h"

namespace wisteriaflow::requests {

// The number of an attempt, from 1; 0 stands for none.
using attempt_number = std::uint32_t;

// Tokens used by an answer, as the engine reports them.
struct token_usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t recomputed_tokens = 0;

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Admission control let the request in.
struct admission_granted {
  friend bool operator==(const admission_granted&, const admission_granted&) = default;
};

// Admission control refused the request.
struct admission_refused {
  refusal_reason reason = refusal_reason::over_share;
  wall_time retry_at{};
  std::string message;

  friend bool operator==(const admission_refused&, const admission_refused&) = default;
};

// The key is claimed for this request: this daemon alone may run it.
struct claim_granted {
  std::uint64_t nonce = 0;

  friend bool operator==(const claim_granted&, const claim_granted&) = default;
};

// What is known of the claim that already holds the key.
enum class duplicate_state {
  answered_elsewhere,  // `address` has the answer
  in_flight_elsewhere, // `address` runs it; its answer can be waited for there
  outcome_unknown,     // it may have run
  body_mismatch,       // the key was used with another body
  key_too_old,         // the key is older than keys are remembered
};

// The key is already claimed.
struct claim_duplicate {
  duplicate_state state = duplicate_state::outcome_unknown;
  std::string address;

  friend bool operator==(const claim_duplicate&, const claim_duplicate&) = default;
};

// Nothing was claimed and nothing will be.
struct claim_unavailable {
  wall_time retry_at{};

  friend bool operator==(const claim_unavailable&, const claim_unavailable&) = default;
};

// An endpoint was chosen; from now on bytes may reach it.
struct attempt_started {
  attempt_number attempt = 0;
  endpoint_id endpoint;

  friend bool operator==(const attempt_started&, const attempt_started&) = default;
};

// The head of the endpoint's answer.
struct attempt_head {
  attempt_number attempt = 0;
  int status = 200;
  std::vector<header_field> fields;

  friend bool operator==(const attempt_head&, const attempt_head&) = default;
};

// One token of a generation; `offset` counts from 0 over the whole answer.
struct token_arrived {
  attempt_number attempt = 0;
  std::uint64_t offset = 0;
  std::string text;

  friend bool operator==(const token_arrived&, const token_arrived&) = default;
};

// The next bytes of a plain service's answer.
struct body_arrived {
  attempt_number attempt = 0;
  std::string bytes;

  friend bool operator==(const body_arrived&, const body_arrived&) = default;
};

// The endpoint's answer ended properly. `tokens` is the length of the whole generation and
// `finish_reason` what the engine gave; without a reason a generation counts as broken off, so
// that a stream cut by a cancel never passes for a whole answer.
struct attempt_finished {
  attempt_number attempt = 0;
  std::uint64_t tokens = 0;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const attempt_finished&, const attempt_finished&) = default;
};

enum class failure_kind {
  no_endpoint,     // none could be chosen: no byte was sent
  connect_failed,  // no byte was sent
  broken,          // after bytes may have been sent
  timed_out,       // after bytes may have been sent
  endpoint_status, // the endpoint answered with an error status: see `response`
};

// The attempt is over without an answer.
struct attempt_failed {
  attempt_number attempt = 0;
  failure_kind kind = failure_kind::broken;
  response_parts response;

  friend bool operator==(const attempt_failed&, const attempt_failed&) = default;
};

// The retry budget gave a token, and the backoff is over.
struct retry_granted {
  friend bool operator==(const retry_granted&, const retry_granted&) = default;
};

// The retry budget is empty.
struct retry_denied {
  wall_time retry_at{};

  friend bool operator==(const retry_denied&, const retry_denied&) = default;
};

// `endpoint` will be reclaimed. Ignored by requests that run elsewhere.
struct endpoint_leaving {
  endpoint_id endpoint;
  move_estimate estimate;

  friend bool operator==(const endpoint_leaving&, const endpoint_leaving&) = default;
};

// The engine exported the KV cache of the attempt; it covers the first `tokens` of the answer.
struct kv_exported {
  attempt_number attempt = 0;
  std::string handle;
  std::uint64_t tokens = 0;

  friend bool operator==(const kv_exported&, const kv_exported&) = default;
};

struct kv_export_failed {
  attempt_number attempt = 0;

  friend bool operator==(const kv_export_failed&, const kv_export_failed&) = default;
};

// The engine confirmed that the attempt no longer runs.
struct cancel_confirmed {
  attempt_number attempt = 0;

  friend bool operator==(const cancel_confirmed&, const cancel_confirmed&) = default;
};

// The engine did not confirm: the attempt may or may not run on.
struct cancel_failed {
  attempt_number attempt = 0;

  friend bool operator==(const cancel_failed&, const cancel_failed&) = default;
};

// The caller's connection is lost.
struct caller_gone {
  friend bool operator==(const caller_gone&, const caller_gone&) = default;
};

// The caller is back; it has every token up to `last_offset`, or none.
struct caller_back {
  std::optional<std::uint64_t> last_offset;

  friend bool operator==(const caller_back&, const caller_back&) = default;
};

// The caller's deadline, or the end of this daemon's own notice, has passed.
struct deadline_passed {
  friend bool operator==(const deadline_passed&, const deadline_passed&) = default;
};

// This daemon is leaving. Without `hand_over` running requests go on; with it they are handed to a
// peer. May come again, e.g. after a peer refused.
struct drain_started {
  bool hand_over = false;

  friend bool operator==(const drain_started&, const drain_started&) = default;
};

// The peer at `address` has taken the request over.
struct handover_accepted {
  std::string address;

  friend bool operator==(const handover_accepted&, const handover_accepted&) = default;
};

// The peer surely has not taken the request. If its answer was lost, the call is sent again
// instead: it is idempotent.
struct handover_refused {
  friend bool operator==(const handover_refused&, const handover_refused&) = default;
};

using request_event =
    std::variant<admission_granted, admission_refused, claim_granted, claim_duplicate,
                 claim_unavailable, attempt_started, attempt_head, token_arrived, body_arrived,
                 attempt_finished, attempt_failed, retry_granted, retry_denied, endpoint_leaving,
                 kv_exported, kv_export_failed, cancel_confirmed, cancel_failed, caller_gone,
                 caller_back, deadline_passed, drain_started, handover_accepted, handover_refused>;

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_REQUEST_EVENTS_H_
