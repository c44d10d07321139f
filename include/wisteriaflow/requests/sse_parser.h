// Incremental parser of the server-sent events in a model engine's response.
//
//   sse_parser parser;
//   for (const auto& event : parser.feed(bytes)) { ... } // bytes as they arrive from the socket

#ifndef WISTERIAFLOW_REQUESTS_SSE_PARSER_H_
#define WISTERIAFLOW_REQUESTS_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wisteriaflow/requests/request_events.h"

namespace wisteriaflow::requests {

// One token. `offset` counts from 0 over the complete answer, across attempts.
struct engine_token {
  std::uint64_t offset = 0;
  std::string text;

  friend bool operator==(const engine_token&, const engine_token&) = default;
};

// The engine has finished the generation; the complete answer has `tokens` tokens.
struct engine_finish {
  std::uint64_t tokens = 0;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const engine_finish&, const engine_finish&) = default;
};

// The stream ended properly, with "[DONE]".
struct engine_stream_end {
  friend bool operator==(const engine_stream_end&, const engine_stream_end&) = default;
};

using engine_event = std::variant<engine_token, engine_finish, engine_stream_end>;

class sse_parser {
 public:
  // Events longer than `max_event_bytes` are an error.
  explicit sse_parser(std::size_t max_event_bytes = std::size_t{64} << 10U)
      : max_event_bytes_(max_event_bytes)
  {
  }

  // Parses the next bytes, which may end anywhere, and returns the events that they complete. Lines
  // end in LF or CRLF. Throws stream_error on malformed data, an event over the limit or an `error`
  // event; the parser must not be used after that.
  std::vector<engine_event> feed(std::string_view bytes);

 private:
  void parse_line(std::string_view line, std::vector<engine_event>& events);
  void dispatch_event(std::vector<engine_event>& events);

  std::size_t max_event_bytes_;
  std::string line_;
  std::string name_;
  std::string data_;
  bool has_data_ = false;
  std::uint64_t next_offset_ = 0;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_SSE_PARSER_H_
