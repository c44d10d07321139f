// Identifies requests that are repetitions of the same request.
//
// Each attempt of a caller has its own request id, so that ids cannot be used for this. Requests
// from one workspace to the same host, method and target (the path and the query) with the same
// body have one content id.
//
//   const auto content = content_of(workspace, request);
//   log.write(..., {{"content", to_string(content)}});

#ifndef WISTERIAFLOW_GATEWAY_REQUEST_CONTENT_H_
#define WISTERIAFLOW_GATEWAY_REQUEST_CONTENT_H_

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

// Hash that identifies a request content; equal in all daemons.
struct content_id {
  hash128 hash;

  friend auto operator<=>(const content_id&,
                          const content_id&) = default; // NOLINT(modernize-use-nullptr)
};

// Computes the content id of a request. The workspace identifies the caller: one with several API
// keys is the same caller under each of them.
[[nodiscard]] content_id content_of(const workspace_id& workspace, const http::request& request);

// 32 hexadecimal digits, as used in logs and in messages to peers.
[[nodiscard]] std::string to_string(const content_id& content);

// Parses the output of to_string(); nothing if `text` has another form.
[[nodiscard]] std::optional<content_id> parse_content_id(std::string_view text);

} // namespace wisteriaflow::gateway

template <> struct std::hash<wisteriaflow::gateway::content_id> {
  std::size_t operator()(const wisteriaflow::gateway::content_id& c) const noexcept
  {
    return std::hash<wisteriaflow::hash128>{}(c.hash);
  }
};

#endif // WISTERIAFLOW_GATEWAY_REQUEST_CONTENT_H_
