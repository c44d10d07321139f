// A caller's request as the gateway sees it, and an endpoint's answer, whatever their dialect.
//
// The bytes of both pass through unchanged; these types hold what decisions are made by.

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

// A part of a prompt that other requests may share.
struct prompt_part {
  std::uint64_t id = 0; // equal ids after equal parts mean equal text
  std::uint32_t tokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// Size of a generation, as its caller states it.
struct token_size {
  std::uint64_t prompt = 0;
  std::uint64_t output = 0; // at most

  friend bool operator==(const token_size&, const token_size&) = default;
};

// What a caller's request asks for.
struct call_description {
  std::string host;
  std::string path; // without the query
  std::string request_id;
  std::string api_key; // empty: none
  std::string model;   // empty for a plain service
  std::optional<token_size> size;
  std::vector<prompt_part> prompt;
  std::optional<mono_time> deadline; // after it the caller has gone

  friend bool operator==(const call_description&, const call_description&) = default;
};

// What the gateway adds to a request for one attempt.
struct attempt_terms {
  endpoint_id endpoint;   // any other endpoint at that address refuses the request
  workspace_id workspace; // empty: not told
  int priority = 0;
  mono_time deadline;
  // Another endpoint that probably holds the prompt's shared parts, to copy them from.
  std::optional<http::socket_address> prefix_source;
  // Id of the last event that the caller has; absent at a first attempt.
  std::optional<std::uint64_t> resume_after;

  friend bool operator==(const attempt_terms&, const attempt_terms&) = default;
};

// What the head of an endpoint's answer says.
struct answer_head {
  int status = 0;
  bool not_run = false;        // the endpoint promises that it did not run the request
  bool other_endpoint = false; // another endpoint is at the address, and answers for itself
  bool has_signature = false;  // carries the endpoint's signature
  bool is_stream = false;
  std::string request_id; // as echoed by the endpoint; empty: none
  endpoint_statement statement;

  friend bool operator==(const answer_head&, const answer_head&) = default;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CALL_H_
