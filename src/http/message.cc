#include "wisteriaflow/http/message.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::http {
namespace {

constexpr int hex_base = 16;
constexpr std::size_t escape_size = 3; // "%2F"

// Decodes percent escapes, and "+" as a space, in a name or value of a query.
std::string decode(std::string_view text)
{
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      out.push_back(' ');
      continue;
    }
    unsigned value = 0;
    if (text[i] == '%' && i + escape_size <= text.size()) {
      const char* first = text.data() + i + 1;
      const char* last = text.data() + i + escape_size;
      const auto [end, ec] = std::from_chars(first, last, value, hex_base);
      if (ec == std::errc{} && end == last) {
        out.push_back(static_cast<char>(value));
        i += escape_size - 1;
        continue;
      }
    }
    out.push_back(text[i]);
  }
  return out;
}

} // namespace

std::string_view find_header(const headers& fields, std::string_view name,
                             std::string_view fallback)
{
  for (const auto& field : fields) {
    if (boost::beast::iequals({field.name.data(), field.name.size()}, {name.data(), name.size()})) {
      return field.value;
    }
  }
  return fallback;
}

target_parts parse_target(std::string_view target)
{
  target_parts parts;
  const auto question_mark = target.find('?');
  parts.path = std::string(target.substr(0, question_mark));
  if (question_mark == std::string_view::npos) {
    return parts;
  }
  auto rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    const auto value = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    parts.query.push_back({.name = decode(pair.substr(0, equals)), .value = decode(value)});
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return parts;
}

socket_address parse_socket_address(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw http_error("not an IP number and port: " + std::string(text));
  }
  const std::string host(text.substr(0, colon));
  boost::system::error_code ec;
  boost::asio::ip::make_address(host, ec);
  std::uint16_t port = 0;
  const auto digits = text.substr(colon + 1);
  const auto [end, parsed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec || parsed != std::errc{} || end != digits.data() + digits.size()) {
    throw http_error("not an IP number and port: " + std::string(text));
  }
  return {.host = host, .port = port};
}

std::string to_string(const socket_address& address)
{
  return address.host + ":" + std::to_string(address.port);
}

} // namespace wisteriaflow::http
