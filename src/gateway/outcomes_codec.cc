#include "wisteriaflow/gateway/outcomes_codec.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/json/array.hpp>

namespace wisteriaflow::gateway {
namespace {

namespace json = boost::json;

// No statement is relayed for longer. A greater age could overflow the arithmetic of times.
constexpr std::int64_t max_relayed_age_ms = 60'000;

// A non-negative integer, bounded by `max`; nothing for any other value.
std::optional<std::uint64_t> decode_count(const json::value& from, std::uint64_t max,
                                          std::size_t& rejected)
{
  boost::system::error_code ec;
  const auto n = from.to_number<std::uint64_t>(ec);
  if (ec) {
    ++rejected;
    return std::nullopt;
  }
  rejected += n > max ? 1 : 0;
  return std::min(n, max);
}

std::optional<load::outcome_counts> decode_counts(const json::value& from, std::size_t& rejected)
{
  const auto* pair = from.if_array();
  if (pair == nullptr || pair->size() != 2) {
    ++rejected;
    return std::nullopt;
  }
  const auto answered = decode_count(pair->at(0), load::max_stated_calls, rejected);
  const auto failed = decode_count(pair->at(1), load::max_stated_calls, rejected);
  if (!answered || !failed) {
    return std::nullopt;
  }
  return load::outcome_counts{.answered = static_cast<std::uint32_t>(*answered),
                              .failed = static_cast<std::uint32_t>(*failed)};
}

} // namespace

json::object encode_outcomes(const load::outcome_map& outcomes)
{
  json::object out;
  for (const auto& [id, n] : outcomes) {
    out[id.value()] = {n.answered, n.failed};
  }
  return out;
}

json::object encode_relayed_outcomes(const std::vector<load::relayed_outcomes>& relayed)
{
  json::object out;
  for (const auto& r : relayed) {
    out[r.daemon.value()] = {r.age.count(), encode_outcomes(r.counts)};
  }
  return out;
}

load::outcome_map decode_outcomes(const json::value& from, std::size_t& rejected)
{
  load::outcome_map out;
  const auto* entries = from.if_object();
  if (entries == nullptr) {
    ++rejected;
    return out;
  }
  for (const auto& [id, n] : *entries) {
    if (out.size() == load::max_stated_endpoints + 1) { // and the counts of all calls
      ++rejected;
      break;
    }
    if (const auto counts = decode_counts(n, rejected)) {
      out.emplace(endpoint_id(std::string(id)), *counts);
    }
  }
  return out;
}

std::vector<load::relayed_outcomes> decode_relayed_outcomes(const json::value& from,
                                                            std::size_t& rejected)
{
  std::vector<load::relayed_outcomes> out;
  const auto* statements = from.if_object();
  if (statements == nullptr) {
    ++rejected;
    return out;
  }
  for (const auto& [id, statement] : *statements) {
    const auto* pair = statement.if_array();
    if (out.size() == load::max_relayed_entries || pair == nullptr || pair->size() != 2) {
      ++rejected;
      continue;
    }
    if (const auto age = decode_count(pair->at(0), max_relayed_age_ms, rejected)) {
      out.push_back({.daemon = daemon_id(std::string(id)),
                     .age = std::chrono::milliseconds(*age),
                     .counts = decode_outcomes(pair->at(1), rejected)});
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
