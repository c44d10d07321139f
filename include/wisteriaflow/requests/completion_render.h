// Renders answers of generations in the format of the OpenAI completions API: as one JSON body, or
// as server-sent events.

#ifndef WISTERIAFLOW_REQUESTS_COMPLETION_RENDER_H_
#define WISTERIAFLOW_REQUESTS_COMPLETION_RENDER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wisteriaflow/requests/outcome.h"
#include "wisteriaflow/requests/request_events.h"

namespace wisteriaflow::requests {

// The event of one token. Its id is the token's offset, which a client that reconnects sends back
// as `Last-Event-ID`.
[[nodiscard]] std::string render_token_event(std::uint64_t offset, std::string_view text);

// The events that end a complete stream: finish reason and usage, then "[DONE]".
[[nodiscard]] std::string render_final_events(std::string_view finish_reason,
                                              const token_usage& usage);

// The error event that ends an incomplete stream. Its data is the body of the outcome's response.
[[nodiscard]] std::string render_error_event(const outcome& result, wall_time now);

// An answer that is not streamed.
struct completion_response {
  std::string request_id;
  std::string model;
  std::string text;
  std::string finish_reason;
  token_usage usage;
};

// The JSON body of an answer that is not streamed.
[[nodiscard]] std::string render_completion_response(const completion_response& answer);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_COMPLETION_RENDER_H_
