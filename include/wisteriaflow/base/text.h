// Small helpers for header fields and lists, over std::string_view. Abseil's own string_view is
// another type here, so its functions do not take ours.

#ifndef WISTERIAFLOW_BASE_TEXT_H_
#define WISTERIAFLOW_BASE_TEXT_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaflow {

// `text` with ASCII letters in lower case.
[[nodiscard]] std::string to_lower(std::string_view text);

// Whether `a` and `b` are equal but for the case of ASCII letters.
[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b);

// `text` without white space at either end.
[[nodiscard]] std::string_view trim(std::string_view text);

// The parts of `text` between separators, trimmed; empty parts are left out.
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, char separator);

// The whole of `text` as a number, or nothing.
template <typename number> [[nodiscard]] std::optional<number> parse_number(std::string_view text)
{
  number out{};
  const auto* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, out);
  return ec == std::errc{} && end == last ? std::optional(out) : std::nullopt;
}

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_TEXT_H_
