// The project's own headers of a caller's request, for generations and plain services alike.

#ifndef WISTERIAFLOW_REQUESTS_CALL_HEADERS_H_
#define WISTERIAFLOW_REQUESTS_CALL_HEADERS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/requests/outcome.h"

namespace wisteriaflow::requests {

// Limits on what callers may ask for.
struct call_limits {
  std::chrono::milliseconds default_timeout = std::chrono::minutes(1);
  std::chrono::milliseconds max_timeout = std::chrono::minutes(10);
  std::size_t max_key_bytes = 128;
  std::size_t max_labels = 16;
  int max_priority = 9;
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  std::size_t max_prompt_bytes = std::size_t{512} << 10U;
  std::uint64_t max_tokens = 16384;
  std::uint64_t default_tokens = 16; // as in the OpenAI interface

  friend bool operator==(const call_limits&, const call_limits&) = default;
};

// The headers, checked.
struct call_headers {
  workspace_id workspace;
  std::map<std::string, std::string> labels;
  std::string key;                      // empty: none
  std::optional<wall_time> key_created; // if the key is a version 7 UUID
  bool idempotent = true;
  mono_time deadline{};
  wall_time wall_deadline{};   // the same, for other processes
  std::optional<int> priority; // 0 is the lowest

  friend bool operator==(const call_headers&, const call_headers&) = default;
};

// Checks the headers of a request received at `now`. Names are compared without regard to case.
// Throws invalid_request (400) that names the header.
[[nodiscard]] call_headers parse_call_headers(const std::vector<header_field>& fields,
                                              const clock_reading& now, const call_limits& limits);

// The time in a version 7 UUID in its usual notation, or nothing if `text` is not one.
[[nodiscard]] std::optional<wall_time> uuid_v7_time(std::string_view text);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_CALL_HEADERS_H_
