#include "wisteriaflow/base/percent_encoding.h"

namespace wisteriaflow {

bool is_unreserved(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

std::string percent_encoded(std::string_view text)
{
  constexpr std::string_view digits = "0123456789ABCDEF";
  constexpr unsigned half_byte = 4;
  constexpr unsigned low_half = 0xF;
  std::string encoded;
  for (const char c : text) {
    if (is_unreserved(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += digits[byte >> half_byte];
    encoded += digits[byte & low_half];
  }
  return encoded;
}

} // namespace wisteriaflow
