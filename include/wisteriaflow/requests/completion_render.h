// Answers of generations in the OpenAI style, whole and as server-sent events.

#ifndef WISTERIAFLOW_REQUESTS_COMPLETION_RENDER_H_
#define WISTERIAFLOW_REQUESTS_COMPLETION_RENDER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wisteriaflow/requests/outcome.h"
#include "wisteriaflow/requests/request_events.h"

namespace wisteriaflow::requests {

// The event of one token. Its id is the offset, for `Last-Event-ID`.
[[nodiscard]] std::string render_token_event(std::uint64_t offset, std::string_view text);

// The events that end a whole stream: finish reason and usage, then "[DONE]".
[[nodiscard]] std::string render_final_events(std::string_view finish_reason,
                                              const token_usage& usage);

// The event that ends a stream which cannot be finished, with the body of the outcome's response.
[[nodiscard]] std::string render_error_event(const outcome& result, wall_time now);

// The body of an answer that is not streamed.
struct whole_answer {
  std::string request_id;
  std::string model;
  std::string text;
  std::string finish_reason;
  token_usage usage;
};
[[nodiscard]] std::string render_whole_answer(const whole_answer& answer);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_COMPLETION_RENDER_H_
