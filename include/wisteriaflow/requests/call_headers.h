// Parses the `Wisteriaflow-*` and `Idempotency-Key` headers of a caller's request. Generations and
// plain service calls have the same headers.

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

// Limits and defaults for callers' requests.
struct call_limits {
  std::chrono::milliseconds default_timeout = std::chrono::minutes(1); // without a timeout header
  std::chrono::milliseconds max_timeout = std::chrono::minutes(10);
  std::size_t max_key_bytes = 128; // of `Idempotency-Key`
  std::size_t max_labels = 16;
  int max_priority = 9; // the lowest is 0
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  std::size_t max_prompt_bytes = std::size_t{512} << 10U;
  std::uint64_t max_tokens = 16384;
  std::uint64_t default_tokens = 16; // without `max_tokens`; as in the OpenAI API

  friend bool operator==(const call_limits&, const call_limits&) = default;
};

// The validated headers of a request.
struct call_headers {
  workspace_id workspace;
  std::map<std::string, std::string> labels;
  std::string key;                      // idempotency key; empty if there is none
  std::optional<wall_time> key_created; // time in the key, if it is a version 7 UUID
  bool idempotent = true;
  mono_time deadline{};        // of the answer, on this process's clock
  wall_time wall_deadline{};   // the same deadline, to send to other processes
  std::optional<int> priority; // 0 is the lowest; empty without the header

  friend bool operator==(const call_headers&, const call_headers&) = default;
};

// Parses and validates the headers of a request received at `now`. Header names are compared
// case-insensitively. Throws invalid_request (status 400), whose text names the header.
[[nodiscard]] call_headers parse_call_headers(const std::vector<header_field>& fields,
                                              const clock_reading& now, const call_limits& limits);

// The timestamp of a version 7 UUID in the usual 36-character notation; nullopt for any
// other text.
[[nodiscard]] std::optional<wall_time> uuid_v7_time(std::string_view text);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_CALL_HEADERS_H_
