#include "beast_message.h"

#include <algorithm>
#include <array>
#include <string>

#include <boost/beast/core/string.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::http::internal {
namespace {

constexpr std::array<std::string_view, 6> hop_by_hop_fields = {
    "Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Expect",
};

bool is_hop_by_hop_field(std::string_view name)
{
  return std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), [&](std::string_view hop) {
    return boost::beast::iequals({hop.data(), hop.size()}, {name.data(), name.size()});
  });
}

bool is_line_break_or_nul(char c)
{
  return c == '\r' || c == '\n' || c == '\0';
}

bool is_space_or_control(char c)
{
  constexpr char space = ' ';
  constexpr char delete_character = 0x7f;
  return (c >= 0 && c <= space) || c == delete_character;
}

} // namespace

void append_fields(const headers& from, boost::beast::http::fields& to)
{
  for (const auto& field : from) {
    if (is_hop_by_hop_field(field.name)) {
      continue;
    }
    const bool bad_value =
        std::any_of(field.value.begin(), field.value.end(), is_line_break_or_nul);
    const bool bad_name = std::any_of(field.name.begin(), field.name.end(), is_space_or_control);
    if (bad_value || bad_name || field.name.empty()) {
      throw http_error("invalid header field: " + field.name);
    }
    to.insert(field.name, field.value);
  }
}

headers to_headers(const boost::beast::http::fields& from)
{
  headers out;
  for (const auto& field : from) {
    out.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
  }
  return out;
}

void check_request_line_token(std::string_view token)
{
  if (token.empty() || std::any_of(token.begin(), token.end(), is_space_or_control)) {
    throw http_error("invalid token in a request line: " + std::string(token));
  }
}

} // namespace wisteriaflow::http::internal
