#include "wisteriaflow/base/text.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/nowide/utf/utf.hpp>

namespace wisteriaflow {

std::string to_lower(std::string_view text)
{
  return boost::algorithm::to_lower_copy(std::string(text), std::locale::classic());
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
  return boost::algorithm::iequals(a, b, std::locale::classic());
}

std::string_view trim(std::string_view text)
{
  constexpr std::string_view whitespace = " \t\r\n";
  const auto first = text.find_first_not_of(whitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
  std::vector<std::string_view> out;
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    const auto part = trim(text.substr(0, end));
    if (!part.empty()) {
      out.push_back(part);
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

bool is_printable(std::string_view text)
{
  namespace utf = boost::nowide::utf;
  constexpr utf::code_point first_printable = 0x20;
  constexpr utf::code_point delete_character = 0x7f;
  constexpr utf::code_point last_control = 0x9f; // of those from `delete_character` on
  for (auto it = text.begin(); it != text.end();) {
    const auto c = utf::utf_traits<char>::decode(it, text.end());
    const bool is_control = c < first_printable || (delete_character <= c && c <= last_control);
    if (c == utf::illegal || c == utf::incomplete || is_control) {
      return false;
    }
  }
  return true;
}

} // namespace wisteriaflow
