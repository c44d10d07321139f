// One request in flight at this daemon, with the calls that wait for its answer.

#ifndef WISTERIAFLOW_SRC_CORE_ACTIVE_REQUEST_H_
#define WISTERIAFLOW_SRC_CORE_ACTIVE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core_context.h"
#include "core/placement.h"
#include "wisteriaflow/admission/admission_control.h"
#include "wisteriaflow/requests/answer_store.h"
#include "wisteriaflow/requests/completion_request.h"
#include "wisteriaflow/requests/request_life.h"
#include "wisteriaflow/requests/sse_parser.h"

namespace wisteriaflow::core::internal {

// A caller's call that waits for a request's answer.
struct attached_call {
  call_number call = 0;
  bool streamed = false;
  bool head_sent = false;
  std::uint64_t next_offset = 0; // the first token that it has not been sent
};

// The exchange of a request's running attempt.
struct running_attempt {
  exchange_number exchange = 0;
  requests::attempt_number attempt = 0;
  endpoint_id endpoint;
  http::socket_address address;
  requests::sse_parser parser;
  routing::sent_attempt work;
  int believed_tokens = 0;
  std::optional<mono_time> first_token_at;
  std::size_t tokens_before = 0; // that the answer had when this attempt's first one came
  int status = 0;                // of the endpoint's answer; 0 before its head
  std::string error_body;        // of an answer that is no stream
  http::headers fields;          // of the answer
  requests::engine_finish end;   // as told by the engine
  bool end_seen = false;
};

// What the life's head and body actions have given so far, for calls that want the whole answer.
struct whole_response {
  int status = 0;
  http::headers fields;
  std::string body;
};

struct active_request {
  active_request(std::string request_id, requests::request_lifecycle_options options,
                 requests::handed_over_state state)
      : id(std::move(request_id)), options(options), life(std::move(options), std::move(state))
  {
  }

  std::string id;
  requests::request_lifecycle_options options;
  requests::request_lifecycle life;
  requests::answer_key key; // of the kept answer: the idempotency key, or the id
  hash128 body_hash;
  http::request message; // as the caller sent it
  requests::call_headers headers;
  std::optional<requests::completion_request> completion; // none for a plain service
  std::string service_target;                             // path at the service
  route where;
  mono_time received_at;
  std::optional<admission::admitted> admitted;
  std::vector<attached_call> calls;
  std::optional<running_attempt> running;
  whole_response answer;
  std::optional<wall_time> keep_until;
  std::string answer_place; // of a refused request's key that was run elsewhere
  std::uint64_t claim_nonce = 0;
  timer_number deadline_timer = 0;
  int retries = 0;
  bool from_peer = false;

  [[nodiscard]] bool generation() const { return completion.has_value(); }

  // The name under which the engine knows an attempt.
  [[nodiscard]] std::string engine_request_id(requests::attempt_number attempt) const
  {
    return id + "." + std::to_string(attempt);
  }
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_ACTIVE_REQUEST_H_
