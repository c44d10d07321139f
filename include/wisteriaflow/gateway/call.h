// Requests of callers and answers of endpoints, independent of the protocol dialect.
//
// The bytes of both are forwarded unchanged; these types hold only what routing decisions depend
// on.

#ifndef WISTERIAFLOW_GATEWAY_CALL_H_
#define WISTERIAFLOW_GATEWAY_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_statement.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

// A section of a prompt that other requests may have in common.
struct prompt_part {
  std::uint64_t id = 0; // equal ids after equal preceding parts mean equal text
  std::uint32_t tokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// Size of a generation in tokens, as stated by the caller.
struct token_size {
  std::uint64_t prompt = 0;
  std::uint64_t output = 0; // upper bound

  friend bool operator==(const token_size&, const token_size&) = default;
};

// Routing attributes of a caller's request.
struct call_description {
  std::string host;
  std::string path; // without the query
  std::string request_id;
  std::string api_key; // empty: none
  std::string model;   // empty for a plain service
  std::optional<token_size> size;
  std::vector<prompt_part> prompt;
  std::optional<mono_time> deadline; // the caller stops waiting then
  // Id of the request whose answer brought the first event of the stream that this request
  // resumes; empty: not stated.
  std::string resumed_request;
  bool states_last_event = false; // the caller has received events of the stream before

  // Whether the caller holds the beginning of a stream and asks for the rest.
  [[nodiscard]] bool is_resume() const { return states_last_event || !resumed_request.empty(); }

  friend bool operator==(const call_description&, const call_description&) = default;
};

// Fields that the gateway adds to a request for one attempt.
struct attempt_parameters {
  endpoint_id endpoint;      // a different endpoint at that address refuses the request
  workspace_id workspace;    // empty: not sent
  unsigned engine_level = 0; // order at the engine, 0 first; see load::urgency_levels
  mono_time deadline;
  // Address of another endpoint that probably has the prompt's shared parts in its cache and from
  // which they can be copied.
  std::optional<http::socket_address> prefix_source;
  // Id of the last event that the caller has received; absent on a first attempt.
  std::optional<std::uint64_t> resume_after;

  friend bool operator==(const attempt_parameters&, const attempt_parameters&) = default;
};

// Contents of the head of an endpoint's answer.
struct answer_head {
  int status = 0;
  bool not_run = false;        // the endpoint states that it did not run the request
  bool other_endpoint = false; // a different endpoint has the address; the other fields are its own
  bool has_signature = false;  // the answer carries the endpoint's signature
  bool is_stream = false;
  std::string request_id; // as echoed by the endpoint; empty: none
  endpoint_statement statement;

  friend bool operator==(const answer_head&, const answer_head&) = default;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CALL_H_
