#include "wisteriaflow/gateway/request_content.h"

#include <charconv>
#include <cstdint>

#include "wisteriaflow/base/text.h"

namespace wisteriaflow::gateway {
namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t digits_of_half = 16;

std::string hex(std::uint64_t value)
{
  std::string digits(digits_of_half, '0');
  for (auto it = digits.rbegin(); it != digits.rend(); ++it) {
    *it = "0123456789abcdef"[value % hexadecimal];
    value /= hexadecimal;
  }
  return digits;
}

std::optional<std::uint64_t> parse_hex(std::string_view digits)
{
  std::uint64_t value = 0;
  const auto* last = digits.data() + digits.size();
  const auto [end, ec] = std::from_chars(digits.data(), last, value, hexadecimal);
  return ec == std::errc{} && end == last ? std::optional(value) : std::nullopt;
}

// Appends a part with its length, so that different lists of parts give different texts.
void append(std::string& text, std::string_view part)
{
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

} // namespace

content_id content_of(const workspace_id& workspace, const http::request& request)
{
  const auto host = to_lower(http::find_header(request.fields, "Host"));
  std::string text;
  for (const std::string_view part :
       {std::string_view(workspace.value()), std::string_view(host),
        std::string_view(request.method), std::string_view(request.target)}) {
    append(text, part);
  }
  // The body may be megabytes, so that it is hashed in place instead of being copied.
  append(text, to_string(content_id{.hash = hash128_of(request.body)}));
  return {.hash = hash128_of(text)};
}

std::string to_string(const content_id& content)
{
  return hex(content.hash.high) + hex(content.hash.low);
}

std::optional<content_id> parse_content_id(std::string_view text)
{
  if (text.size() != 2 * digits_of_half) {
    return std::nullopt;
  }
  const auto high = parse_hex(text.substr(0, digits_of_half));
  const auto low = parse_hex(text.substr(digits_of_half));
  if (!high || !low) {
    return std::nullopt;
  }
  return content_id{.hash = {.high = *high, .low = *low}};
}

} // namespace wisteriaflow::gateway
