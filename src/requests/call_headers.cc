#include "wisteriaflow/requests/call_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

#include <boost/algorithm/string/predicate.hpp>

#include "wisteriaflow/requests/errors.h"

namespace wisteriaflow::requests {
namespace {

constexpr int status_bad_request = 400;
constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_at = 14;
constexpr std::size_t uuid_variant_at = 19;
constexpr int hex_base = 16;

[[noreturn]] void throw_invalid_request(std::string_view name, const std::string& problem)
{
  throw invalid_request(status_bad_request, std::string(name), problem);
}

// The value of a header that may occur only once. A second value is an error, because it would be
// ambiguous which of the two applies.
std::optional<std::string_view> unique_value(const std::vector<header_field>& fields,
                                             std::string_view name)
{
  std::optional<std::string_view> value;
  for (const auto& field : fields) {
    if (!boost::algorithm::iequals(field.name, name)) {
      continue;
    }
    if (value) {
      throw_invalid_request(name, "is given more than once");
    }
    value = field.value;
  }
  return value;
}

std::optional<std::int64_t> parse_number(std::string_view text, int base)
{
  std::int64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, n, base);
  if (text.empty() || ec != std::errc() || at != end) {
    return std::nullopt;
  }
  return n;
}

std::int64_t parse_number_in_range(std::string_view name, std::string_view text, std::int64_t low,
                                   std::int64_t high)
{
  const auto n = parse_number(text, 10);
  if (!n || *n < low || *n > high) {
    throw_invalid_request(name, "must be a whole number from " + std::to_string(low) + " to " +
                                    std::to_string(high));
  }
  return *n;
}

std::string_view trimmed(std::string_view text)
{
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::map<std::string, std::string> parse_labels(std::string_view name, std::string_view text,
                                                std::size_t max_labels)
{
  std::map<std::string, std::string> labels;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const auto pair = trimmed(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      throw_invalid_request(name, "must be a list such as key=value,key=value");
    }
    const bool added =
        labels.emplace(std::string(pair.substr(0, equals)), std::string(pair.substr(equals + 1)))
            .second;
    if (!added) {
      throw_invalid_request(name, "has the key " + std::string(pair.substr(0, equals)) + " twice");
    }
    if (labels.size() > max_labels) {
      throw_invalid_request(name, "has more than " + std::to_string(max_labels) + " labels");
    }
  }
  return labels;
}

std::string parse_key(std::string_view name, std::string_view text, std::size_t max_bytes)
{
  const bool printable =
      std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (text.empty() || text.size() > max_bytes || !printable) {
    throw_invalid_request(name, "must be 1 to " + std::to_string(max_bytes) +
                                    " printable ASCII characters");
  }
  return std::string(text);
}

bool parse_bool(std::string_view name, std::string_view text)
{
  if (text != "true" && text != "false") {
    throw_invalid_request(name, "must be true or false");
  }
  return text == "true";
}

void check_non_idempotent(const call_headers& headers, const clock_reading& now)
{
  constexpr std::string_view name = "Idempotency-Key";
  // Allowed lead of the caller's clock, from which the time in the key comes, over this daemon's.
  // It is wider than a caller's clock should ever be off.
  constexpr std::chrono::minutes max_skew{1};
  if (headers.key.empty()) {
    throw_invalid_request(name, "is required when Wisteriaflow-Idempotent is false");
  }
  if (!headers.key_created) {
    throw_invalid_request(name, "must be a version 7 UUID when Wisteriaflow-Idempotent is false");
  }
  if (*headers.key_created > now.wall + max_skew) {
    throw_invalid_request(name, "has a time in the future");
  }
}

} // namespace

call_headers parse_call_headers(const std::vector<header_field>& fields, const clock_reading& now,
                                const call_limits& limits)
{
  call_headers headers;
  const auto workspace = unique_value(fields, "Wisteriaflow-Workspace");
  if (!workspace || workspace->empty()) {
    throw_invalid_request("Wisteriaflow-Workspace", "is required");
  }
  headers.workspace = workspace_id(std::string(*workspace));
  if (const auto it = unique_value(fields, "Wisteriaflow-Labels")) {
    headers.labels = parse_labels("Wisteriaflow-Labels", *it, limits.max_labels);
  }
  if (const auto it = unique_value(fields, "Idempotency-Key")) {
    headers.key = parse_key("Idempotency-Key", *it, limits.max_key_bytes);
    headers.key_created = uuid_v7_time(headers.key);
  }
  if (const auto it = unique_value(fields, "Wisteriaflow-Idempotent")) {
    headers.idempotent = parse_bool("Wisteriaflow-Idempotent", *it);
  }
  auto timeout = limits.default_timeout;
  if (const auto it = unique_value(fields, "Wisteriaflow-Timeout-Ms")) {
    timeout = std::chrono::milliseconds(
        parse_number_in_range("Wisteriaflow-Timeout-Ms", *it, 1, limits.max_timeout.count()));
  }
  headers.deadline = now.mono + timeout;
  headers.wall_deadline = now.wall + timeout;
  if (const auto it = unique_value(fields, "Wisteriaflow-Priority")) {
    headers.priority = static_cast<int>(
        parse_number_in_range("Wisteriaflow-Priority", *it, 0, limits.max_priority));
  }
  if (!headers.idempotent) {
    check_non_idempotent(headers, now);
  }
  return headers;
}

std::optional<wall_time> uuid_v7_time(std::string_view text)
{
  constexpr std::array<std::size_t, 4> dashes = {8, 13, 18, 23};
  if (text.size() != uuid_length || text[uuid_version_at] != '7') {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = std::find(dashes.begin(), dashes.end(), i) != dashes.end();
    const bool hex =
        std::string_view("0123456789abcdefABCDEF").find(text[i]) != std::string_view::npos;
    if (dash ? text[i] != '-' : !hex) {
      return std::nullopt;
    }
  }
  if (std::string_view("89abAB").find(text[uuid_variant_at]) == std::string_view::npos) {
    return std::nullopt;
  }
  const auto ms =
      parse_number(std::string(text.substr(0, 8)) + std::string(text.substr(9, 4)), hex_base);
  return from_unix_ms(ms.value_or(0));
}

} // namespace wisteriaflow::requests
