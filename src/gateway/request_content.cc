#include "wisteriaflow/gateway/request_content.h"

#include <cstddef>

#include "wisteriaflow/base/hex.h"
#include "wisteriaflow/base/text.h"

namespace wisteriaflow::gateway {
namespace {

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
  return to_hex(content.hash.high) + to_hex(content.hash.low);
}

std::optional<content_id> parse_content_id(std::string_view text)
{
  if (text.size() != 2 * hex_digits) {
    return std::nullopt;
  }
  const auto high = parse_hex(text.substr(0, hex_digits));
  const auto low = parse_hex(text.substr(hex_digits));
  if (!high || !low) {
    return std::nullopt;
  }
  return content_id{.hash = {.high = *high, .low = *low}};
}

} // namespace wisteriaflow::gateway
