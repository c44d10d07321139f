// A caller's request for a generation, checked, and what is sent to the engine for it.

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

struct completion_request {
  call_headers headers;
  model_id model;
  std::string prompt;
  std::uint64_t max_tokens = 0;
  bool stream = false;
  std::string body;  // the caller's own, for the engine
  hash128 body_hash; // tells two bodies under one key apart

  friend bool operator==(const completion_request&, const completion_request&) = default;
};

// Checks an OpenAI-style request received at `now`. Fields that are not known here are kept for the
// engine. Throws invalid_request that names the header or field: 413 for sizes over the limits,
// else 400.
[[nodiscard]] completion_request parse_completion_request(const std::vector<header_field>& fields,
                                                          std::string_view body,
                                                          const clock_reading& now,
                                                          const call_limits& limits);

// What an attempt adds to the caller's body.
struct engine_call {
  std::string model; // as the engine names it
  int priority = 0;
  std::uint64_t resume_tokens = 0;
  std::string resume_text;
};

// The body of an attempt: the caller's, always streamed, to go on after the tokens already there.
// Fields that the caller set and the project does not know are unchanged.
[[nodiscard]] std::string render_engine_body(const completion_request& request,
                                             const engine_call& call);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_COMPLETION_REQUEST_H_
