// Reads the server-sent events of a model engine's stream, from chunks cut anywhere.

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

// One token, numbered over the whole answer.
struct engine_token {
  std::uint64_t offset = 0;
  std::string text;

  friend bool operator==(const engine_token&, const engine_token&) = default;
};

// The engine has made the last token; the whole answer has `tokens` of them.
struct engine_end {
  std::uint64_t tokens = 0;
  std::string finish_reason;
  token_usage usage;

  friend bool operator==(const engine_end&, const engine_end&) = default;
};

// The stream ended properly.
struct engine_done {
  friend bool operator==(const engine_done&, const engine_done&) = default;
};

using engine_event = std::variant<engine_token, engine_end, engine_done>;

class sse_parser {
 public:
  // An event is at most `max_event_bytes` long.
  explicit sse_parser(std::size_t max_event_bytes = std::size_t{64} << 10U)
      : max_event_bytes_(max_event_bytes)
  {
  }

  // Takes the next bytes and returns the events that are now complete. Lines end in LF or CRLF.
  // Throws stream_error on malformed data, an over-long event or an `error` event; the parser must
  // not be used after that.
  std::vector<engine_event> feed(std::string_view bytes);

 private:
  void take_line(std::string_view line, std::vector<engine_event>& events);
  void take_event(std::vector<engine_event>& events);

  std::size_t max_event_bytes_;
  std::string line_;
  std::string name_;
  std::string data_;
  bool has_data_ = false;
  std::uint64_t next_offset_ = 0;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_SSE_PARSER_H_
