#include "wisteriaflow/gateway/scaling_planner.h"

#include <algorithm>
#include <cmath>

namespace wisteriaflow::gateway {
namespace {

unsigned serving_of(const scaling_input& in, const endpoint_group& group)
{
  const auto it = in.serving.find(group);
  return it == in.serving.end() ? 0 : it->second;
}

unsigned serving_of_kind(const scaling_input& in, bool reclaimable)
{
  unsigned sum = 0;
  for (const auto& [group, n] : in.serving) {
    sum += group.reclaimable == reclaimable ? n : 0;
  }
  return sum;
}

unsigned ceil_count(double endpoints)
{
  return static_cast<unsigned>(std::ceil(std::max(0.0, endpoints)));
}

// Returns the zones of the service, cheapest first.
std::vector<availability_zone> zones_by_price(const scaling_limits& limits)
{
  std::vector<availability_zone> out;
  for (const auto& [zone, price] : limits.zone_prices) {
    out.push_back(zone);
  }
  std::stable_sort(out.begin(), out.end(), [&](const auto& a, const auto& b) {
    return limits.zone_prices.at(a) < limits.zone_prices.at(b);
  });
  return out;
}

} // namespace

bool scaling_planner::has_settled(const scaling_input& in, mono_time now)
{
  const auto first = settling_count{.settles_at = now + options_.settle_time};
  auto& seen = settling_counts_.try_emplace(in.service, first).first->second;
  const auto total = serving_of_kind(in, false) + serving_of_kind(in, true);
  if (total > seen.count * (1 + options_.max_settled_growth)) {
    seen = {.count = total, .settles_at = now + options_.settle_time};
  }
  return in.busy_endpoints > 0 || now >= seen.settles_at;
}

double scaling_planner::recent_peak(const scaling_input& in, mono_time now)
{
  const auto [it, first] = peaks_.try_emplace(in.service);
  auto& highest = it->second;
  if (first) {
    highest.value = options_.assumed_utilisation * settling_counts_[in.service].count;
  }
  if (highest.valid_until == mono_time::max() && in.busy_endpoints > 0) {
    highest.valid_until = now + options_.assumption_window;
  }
  if (in.busy_endpoints >= highest.value || now >= highest.valid_until) {
    highest = {.value = in.busy_endpoints, .valid_until = now + options_.demand_window};
  }
  return highest.value;
}

scaling_planner::targets scaling_planner::targets_of(const scaling_input& in, mono_time now)
{
  const double busy = recent_peak(in, now);
  const auto fallback_total = ceil_count(busy / options_.fallback_utilisation);
  const auto min_on_demand =
      std::max(ceil_count(busy * options_.on_demand_fraction), options_.min_on_demand);
  const auto zones = std::max<std::size_t>(2, in.limits.zone_prices.size());
  const auto target_total = ceil_count(busy / options_.target_utilisation);
  const double headroom = target_total > min_on_demand ? target_total - min_on_demand : 0;
  // The reclaimable endpoints of all zones but one still provide the headroom.
  const auto in_zone = std::max(ceil_count(headroom / static_cast<double>(zones - 1)),
                                options_.min_reclaimable_per_zone);
  const auto reclaimable_serving = dependable_reclaimable(in, now);
  const auto shortfall = fallback_total > min_on_demand + reclaimable_serving
                             ? fallback_total - min_on_demand - reclaimable_serving
                             : 0;
  return {.on_demand = min_on_demand + shortfall,
          .reclaimable = std::min(in_zone, in.limits.max_endpoints)};
}

unsigned scaling_planner::dependable_reclaimable(const scaling_input& in, mono_time now) const
{
  std::size_t zones_serving = 0;
  bool is_unavailable = false;
  for (const auto& [zone, price] : in.limits.zone_prices) {
    const endpoint_group group{.service = in.service, .zone = zone, .reclaimable = true};
    zones_serving += serving_of(in, group) > 0 ? 1 : 0;
    const auto it = orders_.find(group);
    is_unavailable = is_unavailable || (it != orders_.end() && now < it->second.unavailable_until);
  }
  return is_unavailable && zones_serving == 1 ? 0 : serving_of_kind(in, true);
}

bool scaling_planner::is_capacity_exhausted(const endpoint_group& group, mono_time now) const
{
  const auto it = orders_.find(group);
  return it != orders_.end() && now < it->second.blocked_until;
}

void scaling_planner::add_order(const endpoint_order& order, const scaling_input& in, mono_time now,
                                std::vector<endpoint_order>& to)
{
  const auto serving = serving_of(in, order.group);
  const auto it = orders_.find(order.group);
  if (it == orders_.end()) {
    if (serving == order.wanted) {
      return; // already at the wanted number
    }
  } else {
    const bool changed = it->second.wanted != order.wanted;
    const bool is_incomplete = serving != order.wanted && now >= it->second.repeat_at;
    if ((!changed && !is_incomplete) || now < it->second.blocked_until) {
      return;
    }
  }
  orders_[order.group] = {.wanted = order.wanted,
                          .repeat_at = now + in.limits.startup_time + options_.repeat_delay,
                          .blocked_until = now,
                          .unavailable_until =
                              it == orders_.end() ? mono_time{} : it->second.unavailable_until};
  to.push_back(order);
}

void scaling_planner::order_reclaimable(const scaling_input& in, unsigned in_zone, mono_time now,
                                        std::vector<endpoint_order>& to)
{
  for (const auto& [zone, price] : in.limits.zone_prices) {
    const auto others = serving_of(in, {.service = in.service, .zone = zone, .reclaimable = false});
    const unsigned room = in.limits.max_endpoints - std::min(in.limits.max_endpoints, others);
    const endpoint_group group{.service = in.service, .zone = zone, .reclaimable = true};
    add_order({.group = group, .wanted = std::min(in_zone, room)}, in, now, to);
  }
}

std::map<availability_zone, unsigned>
scaling_planner::spread_on_demand(const scaling_input& in, unsigned total, mono_time now) const
{
  // At most half of them in the cheapest zone, so that the loss of one zone leaves the other half.
  const unsigned in_zone = std::max(1U, (total + 1) / 2);
  std::map<availability_zone, unsigned> out;
  unsigned left = total;
  for (const auto& zone : zones_by_price(in.limits)) {
    const endpoint_group group{.service = in.service, .zone = zone, .reclaimable = false};
    const auto reclaimable =
        serving_of(in, {.service = in.service, .zone = zone, .reclaimable = true});
    const unsigned room = in.limits.max_endpoints - std::min(in.limits.max_endpoints, reclaimable);
    auto wanted = std::min({in_zone, left, room});
    if (is_capacity_exhausted(group, now)) {
      wanted = std::min(wanted, serving_of(in, group)); // the next zone replaces it
    }
    left -= wanted;
    out[zone] = wanted;
  }
  return out;
}

void scaling_planner::order_on_demand(const scaling_input& in, unsigned total, mono_time now,
                                      std::vector<endpoint_order>& to)
{
  const auto spread = spread_on_demand(in, total, now);
  const auto serving = serving_of_kind(in, false);
  unsigned surplus = serving > total ? serving - total : 0;
  auto zones = zones_by_price(in.limits);
  std::reverse(zones.begin(), zones.end()); // release in the most expensive zones first
  for (const auto& zone : zones) {
    const endpoint_group group{.service = in.service, .zone = zone, .reclaimable = false};
    const auto present = serving_of(in, group);
    auto wanted = spread.at(zone);
    if (wanted < present) {
      const auto given_back = std::min(present - wanted, surplus);
      surplus -= given_back;
      wanted = present - given_back;
    }
    add_order({.group = group, .wanted = wanted}, in, now, to);
  }
}

std::vector<endpoint_order> scaling_planner::plan(const scaling_input& in, mono_time now)
{
  std::vector<endpoint_order> out;
  if (!has_settled(in, now)) {
    return out;
  }
  const auto t = targets_of(in, now);
  order_reclaimable(in, t.reclaimable, now, out);
  order_on_demand(in, t.on_demand, now, out);
  return out;
}

void scaling_planner::on_result(const endpoint_order& order, order_result result, mono_time now)
{
  auto& sent = orders_[order.group];
  if (result == order_result::capacity_exhausted) {
    sent.repeat_at = now + options_.capacity_exhausted_backoff;
    sent.blocked_until = sent.repeat_at;
    // Unless the next order is accepted before.
    sent.unavailable_until = now + 2 * options_.capacity_exhausted_backoff;
  } else if (result == order_result::unanswered) {
    sent.repeat_at = now;
  } else {
    sent.unavailable_until = now;
  }
}

} // namespace wisteriaflow::gateway
