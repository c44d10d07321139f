#include "wisteriaflow/gateway/traffic_splitter.h"

#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

// Whether calls that share `key` have moved when the fraction `part` of all calls has.
bool is_moved(std::uint64_t affinity_key, std::uint64_t order, double fraction)
{
  constexpr std::uint64_t slices = 1'000;
  const auto id = std::to_string(affinity_key);
  return static_cast<double>(hash64_of(id, order) % slices) <
         fraction * static_cast<double>(slices);
}

} // namespace

void traffic_splitter::update_orders(const rollout_registry& registry)
{
  std::erase_if(open_, [&](const auto& it) {
    const auto* known = registry.find(it.first);
    return known == nullptr || !gateway::is_open(*known) || known->order != it.second.order.order;
  });
  for (const auto& [service, entry] : registry.all()) {
    if (!gateway::is_open(entry.latest)) {
      continue;
    }
    auto [it, added] = open_.try_emplace(service);
    it->second.order = entry.latest;
    if (added) {
      it->second.row = {.source = options_.source, .order = entry.latest.order};
    }
  }
}

bool traffic_splitter::may_send_to_target(const order_state& it, std::string_view route) const
{
  exposure of_route;
  double total_to_target = 0;
  double total_calls = 0;
  for (const auto& [name, sent] : it.sent) {
    of_route = name == route ? sent : of_route;
    total_to_target += static_cast<double>(sent.to_target);
    total_calls += static_cast<double>(sent.calls);
  }
  // The extra calls belong to the whole daemon and may be used by any route.
  const auto allowed = [&](double calls) {
    return options_.target_fraction * (calls + 1) + options_.extra_calls;
  };
  return static_cast<double>(of_route.to_target + 1) <=
             allowed(static_cast<double>(of_route.calls)) &&
         total_to_target + 1 <= allowed(total_calls);
}

version_selection traffic_splitter::select(const pending_call& call, bool is_repeat,
                                           wall_time now) const
{
  using subset = version_selection::subset;
  const auto found = open_.find(call.service);
  if (found == open_.end()) {
    return {};
  }
  const auto& it = found->second;
  version_selection out{.endpoints = subset::baseline, .target = it.order.target};
  if (it.order.phase == rollout_phase::trial) {
    if (!is_repeat && may_send_to_target(it, call.route)) {
      const auto period = (now - it.order.ordered_at) / options_.trial_period;
      out.endpoints = subset::trial;
      out.trial_seed = hash64_of(std::to_string(period), it.order.order);
      out.target_fraction = options_.target_fraction;
    }
    return out;
  }
  if (is_moved(call.affinity_key, it.order.order, it.order.moved_fraction(now))) {
    out.endpoints = subset::target;
  }
  return out;
}

void traffic_splitter::on_sent(const call_attempt& call)
{
  ++calls_in_flight_[call.service][call.version];
  const auto found = open_.find(call.service);
  if (found == open_.end()) {
    return;
  }
  auto& it = found->second;
  auto& sent = it.sent[call.route];
  ++sent.calls;
  sent.to_target += call.version == it.order.target ? 1 : 0;
}

bool traffic_splitter::record_pace(route_pace& pace, const call_outcome& outcome, bool is_baseline)
{
  bool slow = false;
  const auto check = [&](slow_call_detector& limit, const std::optional<double>& seconds) {
    if (!seconds) {
      return;
    }
    slow = slow || limit.is_slow(*seconds).value_or(false);
    if (is_baseline) {
      limit.add_sample(*seconds);
    }
  };
  check(pace.first, outcome.first_event_seconds);
  check(pace.event, outcome.event_gap_seconds);
  return slow;
}

void traffic_splitter::on_ended(const call_attempt& call, const call_outcome& outcome)
{
  auto& versions = calls_in_flight_[call.service];
  if (auto& n = versions[call.version]; n <= 1) {
    versions.erase(call.version);
  } else {
    --n;
  }
  if (!outcome.is_counted) {
    return;
  }
  const auto found = open_.find(call.service);
  const bool is_baseline = found == open_.end() || call.version != found->second.order.target;
  const bool slow = record_pace(paces_[call.service][call.route], outcome, is_baseline);
  if (found == open_.end()) {
    return;
  }
  auto& row = found->second.row;
  auto& counts = row.outcomes[call.route];
  auto& to = is_baseline ? counts.baseline : counts.target[call.endpoint];
  ++to.calls;
  to.failed += outcome.failed ? 1 : 0;
  to.slow += slow ? 1 : 0;
  ++row.sequence;
}

std::vector<rollout_row> traffic_splitter::rows(wall_time now) const
{
  std::vector<rollout_row> out;
  for (const auto& [service, it] : open_) {
    auto row = it.row;
    row.moved = it.order.moved_fraction(now) >= 1;
    const auto versions = calls_in_flight_.find(service);
    if (versions != calls_in_flight_.end()) {
      for (const auto& [version, n] : versions->second) {
        row.open_calls += version == it.order.target ? 0 : n;
      }
    }
    out.push_back(std::move(row));
  }
  return out;
}

traffic_splitter::exposure traffic_splitter::exposure_of(std::string_view service) const
{
  exposure out;
  const auto found = open_.find(service);
  if (found == open_.end()) {
    return out;
  }
  for (const auto& [name, sent] : found->second.sent) {
    out.calls += sent.calls;
    out.to_target += sent.to_target;
  }
  return out;
}

} // namespace wisteriaflow::gateway
