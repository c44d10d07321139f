#include "wisteriaflow/gateway/daemon_ages.h"

#include <stdexcept>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Steps of the encoded ages: fine below the time after which a daemon is silent.
struct age_range {
  milliseconds end;
  milliseconds step;
};
constexpr std::array<age_range, 3> ranges{{{milliseconds{2'000}, milliseconds{50}},
                                           {milliseconds{4'000}, milliseconds{100}},
                                           {milliseconds{24'000}, milliseconds{2'000}}}};

// Characters that JSON leaves as they are, without the blank.
constexpr char first_character = '#';
constexpr char skipped_character = '\\';

// A word has the part's index, the hash in digits of 6 bits, and the ages.
constexpr std::size_t hash_digits = 4;
constexpr unsigned digit_bits = 6;
constexpr std::uint32_t digit_mask = (1U << digit_bits) - 1;

char to_character(std::size_t code)
{
  const auto c = static_cast<std::size_t>(first_character) + code;
  return static_cast<char>(c < static_cast<std::size_t>(skipped_character) ? c : c + 1);
}

std::size_t from_character(char c)
{
  if (c < first_character || c == skipped_character || c > '~') {
    throw std::invalid_argument("unreadable ages of daemons");
  }
  return static_cast<std::size_t>(c - first_character) - (c > skipped_character ? 1U : 0U);
}

std::size_t count_steps(const age_range& r, milliseconds begin)
{
  return static_cast<std::size_t>((r.end - begin) / r.step);
}

} // namespace

char encode_age(milliseconds age)
{
  std::size_t code = 0;
  milliseconds begin{0};
  for (const auto& r : ranges) {
    if (age <= r.end) {
      const auto above = std::max(milliseconds{0}, age - begin);
      return to_character(code +
                          static_cast<std::size_t>((above + r.step - milliseconds{1}) / r.step));
    }
    code += count_steps(r, begin);
    begin = r.end;
  }
  return to_character(code + 1);
}

std::optional<milliseconds> decode_age(char c)
{
  auto code = from_character(c);
  milliseconds begin{0};
  for (const auto& r : ranges) {
    const auto steps = count_steps(r, begin);
    if (code <= steps) {
      return begin + static_cast<int>(code) * r.step;
    }
    code -= steps;
    begin = r.end;
  }
  if (code > 1) {
    throw std::invalid_argument("unreadable ages of daemons");
  }
  return std::nullopt;
}

std::string encode_age_part(const age_part& part)
{
  std::string out(1, to_character(part.index));
  for (std::size_t i = 0; i < hash_digits; ++i) {
    out += to_character((part.members >> (i * digit_bits)) & digit_mask);
  }
  return out + part.ages;
}

age_part decode_age_part(std::string_view text)
{
  if (text.size() <= 1 + hash_digits) {
    throw std::invalid_argument("ages of daemons too short");
  }
  age_part out{.index = from_character(text.front())};
  if (out.index >= age_parts) {
    throw std::invalid_argument("ages of an unknown part");
  }
  for (std::size_t i = 0; i < hash_digits; ++i) {
    const auto digit = from_character(text[1 + i]);
    if (digit > digit_mask) {
      throw std::invalid_argument("unreadable hash of daemons");
    }
    out.members |= static_cast<std::uint32_t>(digit) << (i * digit_bits);
  }
  out.ages = text.substr(1 + hash_digits);
  for (const char c : out.ages) {
    static_cast<void>(decode_age(c));
  }
  return out;
}

} // namespace wisteriaflow::gateway
