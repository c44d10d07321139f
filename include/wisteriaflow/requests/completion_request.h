// Validates a caller's request for a generation and renders the request body that is sent to a
// model engine.

#ifndef WISTERIAFLOW_REQUESTS_COMPLETION_REQUEST_H_
#define WISTERIAFLOW_REQUESTS_COMPLETION_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/requests/call_headers.h"
#include "wisteriaflow/requests/outcome.h"

namespace wisteriaflow::requests {

// A validated request for a generation.
struct completion_request {
  call_headers headers;
  model_id model;
  std::string prompt;
  std::uint64_t max_tokens = 0;
  bool stream = false;
  std::string body;  // as the caller sent it; the engine's request body is made from it
  hash128 body_hash; // detects reuse of an idempotency key with another body

  friend bool operator==(const completion_request&, const completion_request&) = default;
};

// Parses and validates an OpenAI-style request received at `now`. Unknown fields are not checked
// and are passed on to the engine. Throws invalid_request, whose text names the header or field:
// status 413 for sizes over the limits, else 400.
[[nodiscard]] completion_request parse_completion_request(const std::vector<header_field>& fields,
                                                          std::string_view body,
                                                          const clock_reading& now,
                                                          const call_limits& limits);

// Fields that one attempt adds to, or replaces in, the caller's body.
struct attempt_parameters {
  std::string model; // the engine's name of the model
  int priority = 0;
  std::uint64_t resume_tokens = 0; // tokens that earlier attempts have produced
  std::string resume_text;         // the text of these tokens
};

// The request body of an attempt: the caller's body with `stream` set to true and the attempt's
// parameters. With `resume_tokens` the engine continues after these tokens. Unknown fields of the
// caller are unchanged.
[[nodiscard]] std::string render_engine_body(const completion_request& request,
                                             const attempt_parameters& parameters);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_COMPLETION_REQUEST_H_
