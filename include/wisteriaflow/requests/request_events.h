// Events of a request, the input of `request_lifecycle`.
//
// Events of an attempt carry its number; events of an attempt that is no longer current are
// ignored.

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

// The number of an attempt, from 1; 0 means none.
using attempt_number = std::uint32_t;

// Token counts of an answer, as the engine reports them.
struct token_usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint64_t cached_tokens = 0;     // prompt tokens found in the KV cache
  std::uint64_t recomputed_tokens = 0; // tokens computed again after a resume

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Admission control admitted the request.
struct admission_granted {
  friend bool operator==(const admission_granted&, const admission_granted&) = default;
};

// Admission control refused the request. `message` is for the caller; empty for the default text.
struct admission_refused {
  refusal_reason reason = refusal_reason::over_share;
  wall_time retry_at{};
  std::string message;

  friend bool operator==(const admission_refused&, const admission_refused&) = default;
};

// The key is claimed for this request: only this daemon may run it. `nonce` identifies the claim.
struct claim_granted {
  std::uint64_t nonce = 0;

  friend bool operator==(const claim_granted&, const claim_granted&) = default;
};

// State of the earlier claim of the key.
enum class duplicate_state {
  answered_elsewhere,  // the daemon at `address` has the answer
  in_flight_elsewhere, // the daemon at `address` runs the request; the caller can wait there
  outcome_unknown,     // the earlier request may have run
  body_mismatch,       // the key was used with another body
  key_too_old,         // the key is older than the retention time of keys
};

// The key is already claimed by an earlier request.
struct claim_duplicate {
  duplicate_state state = duplicate_state::outcome_unknown;
  std::string address;

  friend bool operator==(const claim_duplicate&, const claim_duplicate&) = default;
};

// The key is not claimed and no pending claim can still succeed.
struct claim_unavailable {
  wall_time retry_at{};

  friend bool operator==(const claim_unavailable&, const claim_unavailable&) = default;
};

// An endpoint was chosen for the attempt; from now on bytes of the request may reach it.
struct attempt_started {
  attempt_number attempt = 0;
  endpoint_id endpoint;

  friend bool operator==(const attempt_started&, const attempt_started&) = default;
};

// The status and header fields of the endpoint's response.
struct attempt_head {
  attempt_number attempt = 0;
  int status = 200;
  std::vector<header_field> fields;

  friend bool operator==(const attempt_head&, const attempt_head&) = default;
};

// One token of a generation. `offset` counts from 0 over the complete answer, across attempts.
struct token_arrived {
  attempt_number attempt = 0;
  std::uint64_t offset = 0;
  std::string text;

  friend bool operator==(const token_arrived&, const token_arrived&) = default;
};

// The next bytes of the body of a plain service's response.
struct body_arrived {
  attempt_number attempt = 0;
  std::string bytes;

  friend bool operator==(const body_arrived&, const body_arrived&) = default;
};

// The endpoint's response ended properly. `tokens` is the length of the complete generation and
// `finish_reason` is the engine's. A generation without a reason counts as interrupted, so that a
// stream cut off by a cancel is never taken for a complete answer.
struct attempt_finished {
  attempt_number attempt = 0;
  std::uint64_t tokens = 0;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const attempt_finished&, const attempt_finished&) = default;
};

// How an attempt failed.
enum class failure_kind {
  no_endpoint,     // no endpoint could be chosen; no byte was sent
  connect_failed,  // no byte was sent
  interrupted,     // connection lost or stream malformed; bytes may have been sent
  timed_out,       // no response in time; bytes may have been sent
  endpoint_status, // the endpoint answered with an error status, see `response`
};

// The attempt ended without a complete answer.
struct attempt_failed {
  attempt_number attempt = 0;
  failure_kind kind = failure_kind::interrupted;
  response_parts response;

  friend bool operator==(const attempt_failed&, const attempt_failed&) = default;
};

// The retry budget had a token, and the backoff is over.
struct retry_granted {
  friend bool operator==(const retry_granted&, const retry_granted&) = default;
};

// The retry budget is empty. `retry_at` is when the caller may try again.
struct retry_denied {
  wall_time retry_at{};

  friend bool operator==(const retry_denied&, const retry_denied&) = default;
};

// The cloud will reclaim the instance of `endpoint`. Ignored by requests that run on another
// endpoint.
struct reclaim_announced {
  endpoint_id endpoint;
  move_estimate estimate;

  friend bool operator==(const reclaim_announced&, const reclaim_announced&) = default;
};

// The engine exported the KV cache of the attempt. It covers the first `tokens` tokens of the
// answer; `handle` is the engine's name of the export.
struct kv_exported {
  attempt_number attempt = 0;
  std::string handle;
  std::uint64_t tokens = 0;

  friend bool operator==(const kv_exported&, const kv_exported&) = default;
};

// The KV cache of the attempt could not be exported.
struct kv_export_failed {
  attempt_number attempt = 0;

  friend bool operator==(const kv_export_failed&, const kv_export_failed&) = default;
};

// The engine confirmed that the attempt no longer runs.
struct cancel_confirmed {
  attempt_number attempt = 0;

  friend bool operator==(const cancel_confirmed&, const cancel_confirmed&) = default;
};

// The engine did not confirm the cancel: the attempt may or may not still run.
struct cancel_failed {
  attempt_number attempt = 0;

  friend bool operator==(const cancel_failed&, const cancel_failed&) = default;
};

// The connection to the caller is closed.
struct caller_disconnected {
  friend bool operator==(const caller_disconnected&, const caller_disconnected&) = default;
};

// The caller has reconnected. It has every token up to and including `last_offset`; none if empty.
struct caller_reconnected {
  std::optional<std::uint64_t> last_offset;

  friend bool operator==(const caller_reconnected&, const caller_reconnected&) = default;
};

// The caller's deadline has passed, or the time that this daemon has before it is reclaimed itself.
struct deadline_passed {
  friend bool operator==(const deadline_passed&, const deadline_passed&) = default;
};

// This daemon drains. Requests that are not admitted yet are refused, unless a peer handed them
// over. Running requests continue; with `hand_over` they are handed over to a peer. The event may
// come again, for example after a peer refused.
struct drain_started {
  bool hand_over = false;

  friend bool operator==(const drain_started&, const drain_started&) = default;
};

// The peer at `address` has taken over the request.
struct handover_accepted {
  std::string address;

  friend bool operator==(const handover_accepted&, const handover_accepted&) = default;
};

// The peer has certainly not taken over the request. If the peer's answer is lost, this event is
// not sent; the handover call is sent again instead, because it is idempotent.
struct handover_refused {
  friend bool operator==(const handover_refused&, const handover_refused&) = default;
};

using request_event =
    std::variant<admission_granted, admission_refused, claim_granted, claim_duplicate,
                 claim_unavailable, attempt_started, attempt_head, token_arrived, body_arrived,
                 attempt_finished, attempt_failed, retry_granted, retry_denied, reclaim_announced,
                 kv_exported, kv_export_failed, cancel_confirmed, cancel_failed,
                 caller_disconnected, caller_reconnected, deadline_passed, drain_started,
                 handover_accepted, handover_refused>;

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_REQUEST_EVENTS_H_
