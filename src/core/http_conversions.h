// Conversions between the response parts of the requests package and HTTP messages.

#ifndef WISTERIAFLOW_SRC_CORE_HTTP_CONVERSIONS_H_
#define WISTERIAFLOW_SRC_CORE_HTTP_CONVERSIONS_H_

#include <string>
#include <utility>
#include <vector>

#include "wisteriaflow/http/message.h"
#include "wisteriaflow/requests/outcome.h"

namespace wisteriaflow::core::internal {

inline std::vector<requests::header_field> to_fields(const http::headers& in)
{
  std::vector<requests::header_field> out;
  out.reserve(in.size());
  for (const auto& field : in) {
    out.push_back({.name = field.name, .value = field.value});
  }
  return out;
}

inline http::headers to_headers(const std::vector<requests::header_field>& in)
{
  http::headers out;
  out.reserve(in.size());
  for (const auto& field : in) {
    out.push_back({.name = field.name, .value = field.value});
  }
  return out;
}

inline http::response to_response(const requests::response_parts& in)
{
  return {.status = in.status, .fields = to_headers(in.fields), .body = in.body};
}

inline requests::response_parts to_parts(const http::response& in)
{
  return {.status = in.status, .fields = to_fields(in.fields), .body = in.body};
}

// Makes a JSON response of the daemon itself.
inline http::response json_response(int status, std::string body)
{
  return {.status = status,
          .fields = {{.name = "Content-Type", .value = "application/json"}},
          .body = std::move(body)};
}

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_HTTP_CONVERSIONS_H_
