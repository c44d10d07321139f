#include "wisteriaflow/gateway/scaling_planner.h"

#include <algorithm>
#include <cmath>

namespace wisteriaflow::gateway {
namespace {

unsigned serving_of(const scaling_input& in, const order_subject& subject)
{
  const auto it = in.serving.find(subject);
  return it == in.serving.end() ? 0 : it->second;
}

} // namespace

double scaling_planner::recent_demand(const scaling_input& in, mono_time now)
{
  auto& peak = peaks_[in.service];
  if (in.demand >= peak.value || now >= peak.valid_until) {
    peak = {.value = in.demand, .valid_until = now + options_.demand_memory};
  }
  return peak.value;
}

unsigned scaling_planner::reclaimable_in_zone(const scaling_input& in, double needed) const
{
  const auto zones = in.limits.zone_prices.size();
  const auto rest = static_cast<double>(std::max<std::size_t>(1, zones - 1));
  const auto wanted = static_cast<unsigned>(std::ceil(needed / rest));
  return std::clamp(std::max(wanted, options_.fewest_reclaimable), in.limits.least, in.limits.most);
}

void scaling_planner::add_order(std::vector<endpoint_order>& to, const endpoint_order& order,
                                unsigned serving, const scaling_input& in, mono_time now)
{
  const auto it = orders_.find(order.subject);
  if (it == orders_.end()) {
    if (serving == order.wanted) {
      return; // as it stands
    }
  } else {
    const bool changed = it->second.wanted != order.wanted;
    const bool missing = serving != order.wanted && now >= it->second.repeat_at;
    if ((!changed && !missing) || now < it->second.not_before) {
      return;
    }
  }
  orders_[order.subject] = {.wanted = order.wanted,
                            .repeat_at = now + in.limits.start_time + options_.repeat_after,
                            .not_before = now};
  to.push_back(order);
}

std::vector<endpoint_order> scaling_planner::plan(const scaling_input& in, mono_time now)
{
  std::vector<endpoint_order> out;
  const double needed = recent_demand(in, now) * options_.headroom;
  const unsigned reclaimable = reclaimable_in_zone(in, needed);
  unsigned all_serving = 0;
  for (const auto& [zone, price] : in.limits.zone_prices) {
    const order_subject cheap{.service = in.service, .zone = zone, .reclaimable = true};
    all_serving += serving_of(in, cheap);
    const order_subject sure{.service = in.service, .zone = zone, .reclaimable = false};
    const auto sure_serving = serving_of(in, sure);
    const unsigned room = in.limits.most - std::min(in.limits.most, sure_serving);
    add_order(out, {.subject = cheap, .wanted = std::min(reclaimable, room)},
              serving_of(in, cheap), in, now);
  }
  // On-demand endpoints are given back zone by zone as enough reclaimable ones serve.
  const auto enough = static_cast<unsigned>(std::ceil(needed));
  const bool replaced = all_serving >= std::max(enough, options_.fewest_reclaimable);
  for (const auto& [zone, price] : in.limits.zone_prices) {
    const order_subject sure{.service = in.service, .zone = zone, .reclaimable = false};
    const order_subject cheap{.service = in.service, .zone = zone, .reclaimable = true};
    const auto present = serving_of(in, sure);
    const bool zone_covered = serving_of(in, cheap) >= std::max(1U, in.limits.least);
    if (replaced && zone_covered && present > 0) {
      add_order(out, {.subject = sure, .wanted = 0}, present, in, now);
    }
  }
  return out;
}

void scaling_planner::on_answer(const endpoint_order& order, order_answer answer, mono_time now)
{
  auto& sent = orders_[order.subject];
  if (answer == order_answer::sold_out) {
    sent.repeat_at = now + options_.sold_out_pause;
    sent.not_before = sent.repeat_at;
  } else if (answer == order_answer::lost) {
    sent.repeat_at = now;
  }
}

} // namespace wisteriaflow::gateway
