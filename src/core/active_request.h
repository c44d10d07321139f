// The state of one request in flight at this daemon, with the calls that wait for its answer.

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
#include "wisteriaflow/requests/request_lifecycle.h"
#include "wisteriaflow/requests/sse_parser.h"

namespace wisteriaflow::core::internal {

// A caller's call that waits for a request's answer.
struct attached_call {
  call_number call = 0;
  bool streamed = false;
  bool head_sent = false;
  std::uint64_t next_offset = 0; // index of the next token to send
};

// The exchange with an endpoint that carries out a request's current attempt.
struct running_attempt {
  exchange_number exchange = 0;
  requests::attempt_number attempt = 0;
  endpoint_id endpoint;
  http::socket_address address;
  requests::sse_parser parser;
  routing::sent_attempt sent;
  int expected_cached_tokens = 0;
  std::optional<mono_time> first_token_at;
  std::size_t tokens_before = 0;  // tokens of earlier attempts, when this one's first token arrived
  int status = 0;                 // of the endpoint's response; 0 until its head arrives
  std::string error_body;         // of a response to a generation with an error status
  http::headers fields;           // of the endpoint's response
  requests::engine_finish finish; // finish reason and usage that the engine reported
  bool finish_received = false;
};

// The response assembled from the send_head and send_body actions, for calls that are not streamed.
struct buffered_response {
  int status = 0;
  http::headers fields;
  std::string body;
};

// A request from the call that opens it until its outcome. `lifecycle` is its state machine;
// request_table performs the actions that it returns.
struct active_request {
  active_request(std::string request_id, requests::request_lifecycle_options options,
                 requests::handed_over_state state)
      : id(std::move(request_id)), options(options), lifecycle(std::move(options), std::move(state))
  {
  }

  std::string id;
  requests::request_lifecycle_options options;
  requests::request_lifecycle lifecycle;
  requests::answer_key key; // under which the answer is kept: the idempotency key, else the id
  hash128 body_hash;
  http::request message; // as the caller sent it, needed for a handover
  requests::call_headers headers;
  std::optional<requests::completion_request> completion; // empty for a plain service
  std::string service_target;                             // path and query at the service
  route request_route;
  mono_time received_at;
  std::optional<admission::admitted> admitted;
  std::vector<attached_call> calls;
  std::optional<running_attempt> running;
  buffered_response answer;
  std::optional<wall_time> keep_until;
  std::string answer_address; // of the daemon that ran the key of this refused request, if any
  std::uint64_t claim_nonce = 0;
  timer_number deadline_timer = 0;
  int retries = 0;
  bool from_peer = false;

  [[nodiscard]] bool is_generation() const { return completion.has_value(); }

  // Returns the request id that the engine receives for an attempt.
  [[nodiscard]] std::string engine_request_id(requests::attempt_number attempt) const
  {
    return id + "." + std::to_string(attempt);
  }
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_ACTIVE_REQUEST_H_
