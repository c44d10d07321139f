#include "wisteriaflow/gateway/rollout_controller.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Returns `duration`, limited to a fraction of the order's time.
milliseconds capped(milliseconds duration, double fraction, const rollout& order)
{
  const auto order_time = static_cast<double>((order.deadline - order.ordered_at).count());
  return std::min(duration,
                  milliseconds(static_cast<std::int64_t>(fraction * std::max(0.0, order_time))));
}

std::string describe(const version_regression& why)
{
  const auto bad = [&](const outcome_counts& n) {
    return absl::StrCat(why.slow ? n.slow : n.failed, " of ", n.calls);
  };
  return absl::StrCat(why.slow ? "slow" : "failing", " on route ", why.route, ": ", bad(why.target),
                      " at ", why.endpoints, " endpoints, beside ", bad(why.baseline));
}

std::uint64_t target_calls(const outcomes_by_route& outcomes)
{
  std::uint64_t out = 0;
  for (const auto& [route, counts] : outcomes) {
    for (const auto& [endpoint, n] : counts.target) {
      out += n.calls;
    }
  }
  return out;
}

} // namespace

std::optional<rollout> rollout_controller::roll_back_if_bad(const rollout& order,
                                                            const rollout_rows& rows,
                                                            const clock_reading& now)
{
  auto& evaluator = evaluators_.try_emplace(order.order, version_evaluator({})).first->second;
  evaluator.add_counts(rows.total(order.order), now.mono);
  if (!evaluator.regression() || !is_open(order)) {
    return std::nullopt;
  }
  auto out = order;
  out.phase = rollout_phase::rolled_back;
  out.reason = describe(*evaluator.regression());
  return out;
}

bool rollout_controller::is_time_to_move(const rollout& order, wall_time now) const
{
  const auto needed = capped(options_.ramp_time, options_.max_ramp_fraction, order) +
                      capped(options_.settling_time, options_.max_settling_fraction, order);
  return now >= order.deadline - needed;
}

bool rollout_controller::is_suspicious(const rollout& order) const
{
  const auto it = evaluators_.find(order.order);
  return it == evaluators_.end() || it->second.is_suspicious();
}

std::optional<rollout> rollout_controller::next_phase(const rollout& order,
                                                      const rollout_rows& rows,
                                                      const version_endpoint_counts& endpoints,
                                                      wall_time now) const
{
  if (order.phase != rollout_phase::trial || !is_time_to_move(order, now)) {
    return std::nullopt;
  }
  auto out = order;
  const bool is_late = now >= order.deadline;
  const auto min_endpoints = options_.min_endpoint_ratio * static_cast<double>(endpoints.baseline);
  const bool has_capacity =
      endpoints.target > 0 && static_cast<double>(endpoints.target) >= min_endpoints;
  if (!has_capacity) {
    // An order whose endpoints never start is given up after twice its time.
    if (now < order.deadline + (order.deadline - order.ordered_at)) {
      return std::nullopt;
    }
    out.phase = rollout_phase::rolled_back;
    out.reason = absl::StrCat("only ", endpoints.target, " endpoints, beside ", endpoints.baseline);
    return out;
  }
  // A version without enough calls so far, or a suspicious one, gets all the time until the
  // deadline: a late rollout costs less than a bad version that serves all callers.
  const bool has_evidence = target_calls(rows.total(order.order)) >= options_.min_target_calls;
  if (!is_late && (!has_evidence || is_suspicious(order))) {
    return std::nullopt;
  }
  out.phase = rollout_phase::moving;
  out.move_starts_at = now;
  out.move_ends_at = now + capped(options_.ramp_time, options_.max_ramp_fraction, order);
  out.reason = "no worse than the present version";
  return out;
}

bool rollout_controller::is_complete(const rollout& order, const rollout_rows& rows,
                                     const fleet_status& fleet, wall_time now) const
{
  if (order.phase != rollout_phase::moving || now < order.move_ends_at) {
    return false;
  }
  const auto has_drained = [&](const daemon_id& id) {
    const auto* row = rows.find(order.order, id);
    return row != nullptr && row->moved && row->open_calls == 0;
  };
  // Daemons that are not live may still be sending to the old endpoints, but only until the
  // deadline, which applies to them as well.
  const bool must_wait = fleet.has_silent_daemons && now < order.deadline;
  return !must_wait && std::all_of(fleet.live.begin(), fleet.live.end(), has_drained);
}

void rollout_controller::retain(const rollout_registry& registry)
{
  std::erase_if(evaluators_, [&](const auto& it) {
    const auto is_open_order = [&](const auto& e) {
      return e.second.latest.order == it.first && is_open(e.second.latest);
    };
    return std::none_of(registry.all().begin(), registry.all().end(), is_open_order);
  });
}

} // namespace wisteriaflow::gateway
