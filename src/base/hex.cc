#include "wisteriaflow/base/hex.h"

#include <charconv>

namespace wisteriaflow {
namespace {

constexpr int hexadecimal = 16;

} // namespace

std::string to_hex(std::uint64_t value)
{
  std::string digits(hex_digits, '0');
  for (auto it = digits.rbegin(); it != digits.rend(); ++it) {
    *it = "0123456789abcdef"[value % hexadecimal];
    value /= hexadecimal;
  }
  return digits;
}

std::optional<std::uint64_t> parse_hex(std::string_view digits)
{
  if (digits.size() != hex_digits) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto* last = digits.data() + digits.size();
  const auto [end, ec] = std::from_chars(digits.data(), last, value, hexadecimal);
  return ec == std::errc{} && end == last ? std::optional(value) : std::nullopt;
}

} // namespace wisteriaflow
