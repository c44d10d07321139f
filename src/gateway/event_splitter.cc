#include "wisteriaflow/gateway/event_splitter.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/text.h"

namespace wisteriaflow::gateway {
namespace {

constexpr std::string_view id_field = "id:";

std::optional<std::uint64_t> id_of(std::string_view event)
{
  for (const auto line : split(event, '\n')) {
    if (line.starts_with(id_field)) {
      return parse_number<std::uint64_t>(trim(line.substr(id_field.size())));
    }
  }
  return std::nullopt;
}

// Offset after the first empty line of `text` at or after `from`; npos if there is none.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
  const auto lf = text.find("\n\n", from);
  const auto crlf = text.find("\n\r\n", from);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 3;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
  pending_.append(bytes);
  std::vector<stream_event> out;
  std::size_t begin = 0;
  for (auto end = end_of_event(pending_, searched_); end != std::string::npos;
       end = end_of_event(pending_, begin)) {
    auto event = pending_.substr(begin, end - begin);
    const auto id = id_of(event);
    out.push_back({.bytes = std::move(event), .id = id});
    begin = end;
  }
  pending_.erase(0, begin);
  // The last two bytes may be the start of an empty line.
  searched_ = pending_.size() < 2 ? 0 : pending_.size() - 2;
  return out;
}

} // namespace wisteriaflow::gateway
