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

unsigned serving_of_kind(const scaling_input& in, bool reclaimable)
{
  unsigned sum = 0;
  for (const auto& [subject, n] : in.serving) {
    sum += subject.reclaimable == reclaimable ? n : 0;
  }
  return sum;
}

unsigned whole(double endpoints)
{
  return static_cast<unsigned>(std::ceil(std::max(0.0, endpoints)));
}

// Zones of the service, cheapest first.
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
  const auto first = held_number{.until = now + options_.settle_time};
  auto& seen = seen_.try_emplace(in.service, first).first->second;
  const auto present = serving_of_kind(in, false) + serving_of_kind(in, true);
  if (present > seen.number * (1 + options_.settled_growth)) {
    seen = {.number = present, .until = now + options_.settle_time};
  }
  return in.busy > 0 || now >= seen.until;
}

double scaling_planner::recent_busy(const scaling_input& in, mono_time now)
{
  const auto [it, first] = peaks_.try_emplace(in.service);
  auto& highest = it->second;
  if (first) {
    highest.value = options_.guessed_utilisation * seen_[in.service].number;
  }
  if (highest.valid_until == mono_time::max() && in.busy > 0) {
    highest.valid_until = now + options_.guess_memory;
  }
  if (in.busy >= highest.value || now >= highest.valid_until) {
    highest = {.value = in.busy, .valid_until = now + options_.demand_memory};
  }
  return highest.value;
}

scaling_planner::targets scaling_planner::targets_of(const scaling_input& in, mono_time now)
{
  const double busy = recent_busy(in, now);
  const auto comfortable = whole(busy / options_.comfortable_utilisation);
  const auto least = std::max(whole(busy * options_.on_demand_part), options_.fewest_on_demand);
  const auto zones = std::max<std::size_t>(2, in.limits.zone_prices.size());
  const auto generous = whole(busy / options_.generous_utilisation);
  const double room = generous > least ? generous - least : 0;
  // What is left after the loss of one zone's still gives the room.
  const auto in_zone =
      std::max(whole(room / static_cast<double>(zones - 1)), options_.fewest_reclaimable);
  const auto reclaimable_serving = lasting_reclaimable(in, now);
  const auto short_of =
      comfortable > least + reclaimable_serving ? comfortable - least - reclaimable_serving : 0;
  return {.on_demand = least + short_of, .reclaimable = std::min(in_zone, in.limits.most)};
}

unsigned scaling_planner::lasting_reclaimable(const scaling_input& in, mono_time now) const
{
  std::size_t zones_serving = 0;
  bool dry = false;
  for (const auto& [zone, price] : in.limits.zone_prices) {
    const order_subject subject{.service = in.service, .zone = zone, .reclaimable = true};
    zones_serving += serving_of(in, subject) > 0 ? 1 : 0;
    const auto it = orders_.find(subject);
    dry = dry || (it != orders_.end() && now < it->second.dry_until);
  }
  return dry && zones_serving == 1 ? 0 : serving_of_kind(in, true);
}

bool scaling_planner::is_sold_out(const order_subject& subject, mono_time now) const
{
  const auto it = orders_.find(subject);
  return it != orders_.end() && now < it->second.not_before;
}

void scaling_planner::add_order(const endpoint_order& order, const scaling_input& in, mono_time now,
                                std::vector<endpoint_order>& to)
{
  const auto serving = serving_of(in, order.subject);
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
                            .not_before = now,
                            .dry_until = it == orders_.end() ? mono_time{} : it->second.dry_until};
  to.push_back(order);
}

void scaling_planner::order_reclaimable(const scaling_input& in, unsigned in_zone, mono_time now,
                                        std::vector<endpoint_order>& to)
{
  for (const auto& [zone, price] : in.limits.zone_prices) {
    const auto others = serving_of(in, {.service = in.service, .zone = zone, .reclaimable = false});
    const unsigned room = in.limits.most - std::min(in.limits.most, others);
    const order_subject subject{.service = in.service, .zone = zone, .reclaimable = true};
    add_order({.subject = subject, .wanted = std::min(in_zone, room)}, in, now, to);
  }
}

std::map<availability_zone, unsigned>
scaling_planner::spread_on_demand(const scaling_input& in, unsigned total, mono_time now) const
{
  // Half of them in the cheapest zone at the most, so that one zone's trouble leaves the other
  // half.
  const unsigned in_zone = std::max(1U, (total + 1) / 2);
  std::map<availability_zone, unsigned> out;
  unsigned left = total;
  for (const auto& zone : zones_by_price(in.limits)) {
    const order_subject subject{.service = in.service, .zone = zone, .reclaimable = false};
    const auto reclaimable =
        serving_of(in, {.service = in.service, .zone = zone, .reclaimable = true});
    const unsigned room = in.limits.most - std::min(in.limits.most, reclaimable);
    auto wanted = std::min({in_zone, left, room});
    if (is_sold_out(subject, now)) {
      wanted = std::min(wanted, serving_of(in, subject)); // the next zone has to stand in
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
  std::reverse(zones.begin(), zones.end()); // the dearest are given back first
  for (const auto& zone : zones) {
    const order_subject subject{.service = in.service, .zone = zone, .reclaimable = false};
    const auto present = serving_of(in, subject);
    auto wanted = spread.at(zone);
    if (wanted < present) {
      const auto given_back = std::min(present - wanted, surplus);
      surplus -= given_back;
      wanted = present - given_back;
    }
    add_order({.subject = subject, .wanted = wanted}, in, now, to);
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

void scaling_planner::on_answer(const endpoint_order& order, order_answer answer, mono_time now)
{
  auto& sent = orders_[order.subject];
  if (answer == order_answer::sold_out) {
    sent.repeat_at = now + options_.sold_out_pause;
    sent.not_before = sent.repeat_at;
    sent.dry_until = now + 2 * options_.sold_out_pause; // unless the next order is taken
  } else if (answer == order_answer::lost) {
    sent.repeat_at = now;
  } else {
    sent.dry_until = now;
  }
}

} // namespace wisteriaflow::gateway
