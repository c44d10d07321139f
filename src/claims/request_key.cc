#include "wisteriaflow/claims/request_key.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "wisteriaflow/claims/errors.h"

namespace wisteriaflow::claims {
namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;

bool is_hyphen_position(std::size_t position)
{
  return position == 8 || position == 13 || position == 18 || position == 23;
}

bool is_hex(char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

char to_lower(char c)
{
  return c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool has_uuid_form(std::string_view text)
{
  if (text.size() != uuid_length) {
    return false;
  }
  for (std::size_t i = 0; i < uuid_length; ++i) {
    if (is_hyphen_position(i) ? text[i] != '-' : !is_hex(text[i])) {
      return false;
    }
  }
  return true;
}

bool has_rfc_variant(char c)
{
  return c == '8' || c == '9' || c == 'a' || c == 'b';
}

std::int64_t creation_ms(std::string_view text)
{
  const std::string digits = std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
  return std::stoll(digits, nullptr, 16);
}

} // namespace

request_key::request_key(std::string text, wall_time created)
    : text_(std::move(text)), created_(created)
{
}

request_key request_key::parse(std::string_view text, wall_time now,
                               std::chrono::milliseconds max_lead)
{
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), to_lower);
  if (!has_uuid_form(lower)) {
    throw invalid_key_error("the key is not a UUID");
  }
  if (lower[version_position] != '7' || !has_rfc_variant(lower[variant_position])) {
    throw invalid_key_error("the key is not a version 7 UUID");
  }
  const auto created = from_unix_ms(creation_ms(lower));
  if (created > now + max_lead) {
    throw invalid_key_error("the key's creation time lies in the future");
  }
  return {std::move(lower), created};
}

hash128 request_key::hash_for(const workspace_id& workspace) const
{
  return hash128_of(workspace.value() + '\0' + text_);
}

} // namespace wisteriaflow::claims
