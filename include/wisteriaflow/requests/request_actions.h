// What a `request_life` asks its surroundings to do.

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

// An exported KV cache: the run that it continues has been cancelled.
struct kv_transfer {
  std::string handle;
  endpoint_id from;
  std::uint64_t tokens = 0; // of the answer, covered by the cache

  friend bool operator==(const kv_transfer&, const kv_transfer&) = default;
};

// A request in flight, as it goes to a peer.
struct handed_over_state {
  attempt_number attempt = 0;      // the last one used
  std::vector<std::string> tokens; // of the answer so far
  bool dispatched = false;         // bytes of it may have reached an endpoint
  std::uint64_t claim_nonce = 0;   // 0: none
  std::optional<kv_transfer> transfer;

  friend bool operator==(const handed_over_state&, const handed_over_state&) = default;
};

// Claim the key of a non-idempotent request.
struct claim_key {
  friend bool operator==(const claim_key&, const claim_key&) = default;
};

// Choose an endpoint outside of `exclude` and send the request to it, to go on after
// `resume_tokens` tokens whose text is `resume_text`.
struct start_attempt {
  attempt_number attempt = 0;
  std::set<endpoint_id> exclude;
  std::uint64_t resume_tokens = 0;
  std::string resume_text;
  std::optional<kv_transfer> transfer; // import this first

  friend bool operator==(const start_attempt&, const start_attempt&) = default;
};

// Cancel the attempt. With `confirm`, tell the result by `cancel_confirmed` or `cancel_failed`.
struct cancel_attempt {
  attempt_number attempt = 0;
  bool confirm = false;

  friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

// Ask the retry budget for a token; answer by `retry_granted` (after the backoff) or
// `retry_denied`.
struct ask_retry {
  attempt_number failed_attempt = 0;

  friend bool operator==(const ask_retry&, const ask_retry&) = default;
};

// Export the KV cache of the running attempt.
struct export_kv {
  attempt_number attempt = 0;
  endpoint_id from;

  friend bool operator==(const export_kv&, const export_kv&) = default;
};

// Send the head of the answer to the caller.
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

// Send the whole body of an answer that is not streamed.
struct send_body {
  std::string bytes;

  friend bool operator==(const send_body&, const send_body&) = default;
};

// Keep the answer for later calls with the key.
struct keep_answer {
  wall_time until{};

  friend bool operator==(const keep_answer&, const keep_answer&) = default;
};

// Hand the request to a peer; answer by `handover_accepted` or `handover_refused`.
struct hand_over {
  handed_over_state state;

  friend bool operator==(const hand_over&, const hand_over&) = default;
};

// Last action: send the caller to `address` for its answer.
struct redirect {
  std::string address;

  friend bool operator==(const redirect&, const redirect&) = default;
};

// Last action: the final outcome. `head_sent` tells whether the caller already has the head of the
// answer, so that an error can only be sent as an event of the stream.
struct finish {
  outcome result;
  bool head_sent = false;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const finish&, const finish&) = default;
};

// Every life ends with exactly one `finish` or `redirect`.
using request_action =
    std::variant<claim_key, start_attempt, cancel_attempt, ask_retry, export_kv, send_head,
                 send_token, send_body, keep_answer, hand_over, redirect, finish>;

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_REQUEST_ACTIONS_H_
