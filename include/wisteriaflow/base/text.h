// String helpers for header fields and lists, based on std::string_view. In this build Abseil's
// string_view is a different type, so Abseil's string functions do not accept std::string_view.

#ifndef WISTERIAFLOW_BASE_TEXT_H_
#define WISTERIAFLOW_BASE_TEXT_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaflow {

// Returns `text` with ASCII letters converted to lower case.
[[nodiscard]] std::string to_lower(std::string_view text);

// Returns whether `a` and `b` are equal, ignoring the case of ASCII letters.
[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b);

// Returns `text` without leading and trailing white space.
[[nodiscard]] std::string_view trim(std::string_view text);

// Splits `text` at each `separator` and trims the parts; empty parts are omitted. The parts refer
// to the memory of `text`.
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, char separator);

// Returns whether `text` is valid UTF-8 without control characters.
[[nodiscard]] bool is_printable(std::string_view text);

// Parses `text` as a number. Returns nullopt if it is malformed, out of range or has trailing
// characters.
template <typename number> [[nodiscard]] std::optional<number> parse_number(std::string_view text)
{
  number out{};
  const auto* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, out);
  return ec == std::errc{} && end == last ? std::optional(out) : std::nullopt;
}

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_TEXT_H_
