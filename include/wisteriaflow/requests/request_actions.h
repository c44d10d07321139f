// Actions that `request_lifecycle` returns and its caller performs, in the order in which they are
// returned. Results come back as the events of request_events.h.

#ifndef WISTERIAFLOW_REQUESTS_REQUEST_ACTIONS_H_
#define WISTERIAFLOW_REQUESTS_REQUEST_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/requests/outcome.h"
#include "wisteriaflow/requests/request_events.h"

namespace wisteriaflow::requests {

// An exported KV cache. The next attempt imports it. For a non-idempotent request the attempt that
// it was exported from is known to be cancelled before the cache is used.
struct kv_transfer {
  std::string handle;
  endpoint_id from;
  std::uint64_t tokens = 0; // tokens of the answer that the cache covers

  friend bool operator==(const kv_transfer&, const kv_transfer&) = default;
};

// The state of a request in flight that a peer needs to take it over.
struct handed_over_state {
  attempt_number attempt = 0;      // the number of the latest attempt
  std::vector<std::string> tokens; // the answer so far
  bool dispatched = false;         // bytes of the request may have reached an endpoint
  std::uint64_t claim_nonce = 0;   // of the claim of the key; 0 if the key is not claimed
  std::optional<kv_transfer> transfer;

  friend bool operator==(const handed_over_state&, const handed_over_state&) = default;
};

// Claim the idempotency key of a non-idempotent request, so that no other daemon runs it. The
// result is `claim_granted`, `claim_duplicate` or `claim_unavailable`.
struct claim_key {
  friend bool operator==(const claim_key&, const claim_key&) = default;
};

// Choose an endpoint that is not in `exclude` and send the request to it. The endpoint continues
// the answer after its first `resume_tokens` tokens, whose text is `resume_text`.
struct start_attempt {
  attempt_number attempt = 0;
  std::set<endpoint_id> exclude;
  std::uint64_t resume_tokens = 0;
  std::string resume_text;
  std::optional<kv_transfer> transfer; // the KV cache to import first

  friend bool operator==(const start_attempt&, const start_attempt&) = default;
};

// Cancel the attempt. With `confirm` the result is reported by `cancel_confirmed` or
// `cancel_failed`.
struct cancel_attempt {
  attempt_number attempt = 0;
  bool confirm = false;

  friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

// Take a token from the retry budget. The result is `retry_granted`, after the backoff, or
// `retry_denied`.
struct ask_retry {
  attempt_number failed_attempt = 0;

  friend bool operator==(const ask_retry&, const ask_retry&) = default;
};

// Export the KV cache of the running attempt. The result is `kv_exported` or `kv_export_failed`.
struct export_kv {
  attempt_number attempt = 0;
  endpoint_id from;

  friend bool operator==(const export_kv&, const export_kv&) = default;
};

// Send the status and the header fields of the response to the caller.
struct send_head {
  int status = 200;
  std::vector<header_field> fields;

  friend bool operator==(const send_head&, const send_head&) = default;
};

// Send one token to the caller of a streamed generation.
struct send_token {
  std::uint64_t offset = 0;
  std::string text;

  friend bool operator==(const send_token&, const send_token&) = default;
};

// Send the complete body of an answer that is not streamed.
struct send_body {
  std::string bytes;

  friend bool operator==(const send_body&, const send_body&) = default;
};

// Keep the answer until `until` for later calls with the same key.
struct keep_answer {
  wall_time until{};

  friend bool operator==(const keep_answer&, const keep_answer&) = default;
};

// Hand the request over to a peer. The result is `handover_accepted` or `handover_refused`.
struct hand_over {
  handed_over_state state;

  friend bool operator==(const hand_over&, const hand_over&) = default;
};

// Final action: redirect the caller to the daemon at `address`, which has or will have the answer.
struct redirect {
  std::string address;

  friend bool operator==(const redirect&, const redirect&) = default;
};

// Final action: the outcome of the request. If `head_sent` is true, the caller has received the
// response head, and an error can only be sent as an event of the stream.
struct finish {
  outcome result;
  bool head_sent = false;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const finish&, const finish&) = default;
};

// Every request ends with exactly one `finish` or `redirect`.
using request_action =
    std::variant<claim_key, start_attempt, cancel_attempt, ask_retry, export_kv, send_head,
                 send_token, send_body, keep_answer, hand_over, redirect, finish>;

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_REQUEST_ACTIONS_H_
