#include "wisteriaflow/gateway/rollout_codec.h"

#include <stdexcept>
#include <string>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "gateway/json_fields.h"

namespace wisteriaflow::gateway {
namespace {

namespace json = boost::json;

using internal::number_at;
using internal::revision_at;
using internal::text_at;

wall_time time_at(const json::value& from, std::string_view key)
{
  return from_unix_ms(from.at(key).to_number<std::int64_t>());
}

rollout_phase phase_at(const json::value& from, std::string_view key)
{
  const auto n = number_at(from, key);
  if (n > static_cast<std::uint64_t>(rollout_phase::succeeded)) {
    throw std::out_of_range("unknown phase of a roll-out");
  }
  return static_cast<rollout_phase>(n);
}

json::value encode(const rollout& r)
{
  return {{"service", r.service},
          {"order", r.order},
          {"revision", r.revision.packed()},
          {"target", r.target},
          {"ordered_at", to_unix_ms(r.ordered_at)},
          {"deadline", to_unix_ms(r.deadline)},
          {"phase", static_cast<std::uint64_t>(r.phase)},
          {"moves_from", to_unix_ms(r.move_starts_at)},
          {"moved_by", to_unix_ms(r.move_ends_at)},
          {"reason", r.reason}};
}

rollout decode_rollout(const json::value& from)
{
  return {.service = text_at(from, "service"),
          .order = number_at(from, "order"),
          .revision = revision_at(from, "revision"),
          .target = text_at(from, "target"),
          .ordered_at = time_at(from, "ordered_at"),
          .deadline = time_at(from, "deadline"),
          .phase = phase_at(from, "phase"),
          .move_starts_at = time_at(from, "moves_from"),
          .move_ends_at = time_at(from, "moved_by"),
          .reason = text_at(from, "reason")};
}

json::value encode(const outcome_counts& n)
{
  return json::array{n.calls, n.failed, n.slow};
}

outcome_counts decode_counts(const json::value& from)
{
  const auto& n = from.as_array();
  return {.calls = n.at(0).to_number<std::uint64_t>(),
          .failed = n.at(1).to_number<std::uint64_t>(),
          .slow = n.at(2).to_number<std::uint64_t>()};
}

json::value encode(const outcomes_by_route& outcomes)
{
  json::object out;
  for (const auto& [route, counts] : outcomes) {
    json::object target;
    for (const auto& [endpoint, n] : counts.target) {
      target[endpoint.value()] = encode(n);
    }
    out[route] = {{"present", encode(counts.baseline)}, {"target", std::move(target)}};
  }
  return out;
}

outcomes_by_route decode_outcomes(const json::value& from)
{
  outcomes_by_route out;
  for (const auto& [route, counts] : from.as_object()) {
    auto& to = out[std::string(route)];
    to.baseline = decode_counts(counts.at("present"));
    for (const auto& [endpoint, n] : counts.at("target").as_object()) {
      to.target[endpoint_id(std::string(endpoint))] = decode_counts(n);
    }
  }
  return out;
}

} // namespace

json::value encode_rollouts(const rollout_registry::entries& entries)
{
  json::array out;
  for (const auto& [service, e] : entries) {
    json::object refused;
    for (const auto& [version, revision] : e.refused) {
      refused[version] = revision.packed();
    }
    out.push_back({{"latest", encode(e.latest)}, {"refused", std::move(refused)}});
  }
  return out;
}

rollout_registry::entries decode_rollouts(const json::value& from)
{
  rollout_registry::entries out;
  for (const auto& each : from.as_array()) {
    rollout_registry::entry e{.latest = decode_rollout(each.at("latest"))};
    for (const auto& [version, revision] : each.at("refused").as_object()) {
      e.refused[std::string(version)] =
          store_revision::from_packed(revision.to_number<std::uint64_t>());
    }
    out.emplace(e.latest.service, std::move(e));
  }
  return out;
}

json::value encode_rollout_rows(const std::vector<rollout_row>& rows)
{
  json::array out;
  for (const auto& r : rows) {
    out.push_back({{"daemon", r.source.daemon.value()},
                   {"incarnation", r.source.incarnation},
                   {"order", r.order},
                   {"sequence", r.sequence},
                   {"moved", r.moved},
                   {"open_calls", r.open_calls},
                   {"outcomes", encode(r.outcomes)}});
  }
  return out;
}

std::vector<rollout_row> decode_rollout_rows(const json::value& from)
{
  std::vector<rollout_row> out;
  for (const auto& r : from.as_array()) {
    out.push_back({.source = {.daemon = daemon_id(text_at(r, "daemon")),
                              .incarnation = number_at(r, "incarnation")},
                   .order = number_at(r, "order"),
                   .sequence = number_at(r, "sequence"),
                   .moved = r.at("moved").as_bool(),
                   .open_calls = number_at(r, "open_calls"),
                   .outcomes = decode_outcomes(r.at("outcomes"))});
  }
  return out;
}

} // namespace wisteriaflow::gateway
