#include "wisteriaflow/gateway/rollout_conductor.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// A span of the options, but no more than a part of the order's time.
milliseconds bounded(milliseconds span, double part, const rollout& order)
{
  const auto whole = static_cast<double>((order.deadline - order.ordered_at).count());
  return std::min(span, milliseconds(static_cast<std::int64_t>(part * std::max(0.0, whole))));
}

std::string describe(const version_badness& why)
{
  const auto bad = [&](const outcome_counts& n) {
    return absl::StrCat(why.slow ? n.slow : n.failed, " of ", n.calls);
  };
  return absl::StrCat(why.slow ? "slow" : "failing", " on route ", why.route, ": ", bad(why.target),
                      " at ", why.endpoints, " endpoints, beside ", bad(why.present));
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

std::optional<rollout> rollout_conductor::stop_if_bad(const rollout& order,
                                                      const rollout_rows& rows,
                                                      const clock_reading& now)
{
  auto& judge = judges_.try_emplace(order.order, version_judge({})).first->second;
  judge.note(rows.total(order.order), now.mono);
  if (!judge.badness() || !is_open(order)) {
    return std::nullopt;
  }
  auto out = order;
  out.phase = rollout_phase::rolled_back;
  out.reason = describe(*judge.badness());
  return out;
}

bool rollout_conductor::is_time_to_move(const rollout& order, wall_time now) const
{
  const auto needed = bounded(options_.ramp, options_.ramp_part, order) +
                      bounded(options_.settling, options_.settling_part, order);
  return now >= order.deadline - needed;
}

bool rollout_conductor::is_suspicious(const rollout& order) const
{
  const auto it = judges_.find(order.order);
  return it == judges_.end() || it->second.is_suspicious();
}

std::optional<rollout> rollout_conductor::next_phase(const rollout& order, const rollout_rows& rows,
                                                     const version_endpoints& endpoints,
                                                     wall_time now) const
{
  if (order.phase != rollout_phase::trial || !is_time_to_move(order, now)) {
    return std::nullopt;
  }
  auto out = order;
  const bool late = now >= order.deadline;
  const auto wanted = options_.fewest_endpoints * static_cast<double>(endpoints.present);
  const bool has_room = endpoints.target > 0 && static_cast<double>(endpoints.target) >= wanted;
  if (!has_room) {
    // An order whose endpoints never come is given up after its time once more.
    if (now < order.deadline + (order.deadline - order.ordered_at)) {
      return std::nullopt;
    }
    out.phase = rollout_phase::rolled_back;
    out.reason = absl::StrCat("only ", endpoints.target, " endpoints, beside ", endpoints.present);
    return out;
  }
  // A version that nothing is known of yet, or that looks bad, gets all the time there is: late
  // costs less than a bad version that everybody gets.
  const bool known = target_calls(rows.total(order.order)) >= options_.fewest_calls;
  if (!late && (!known || is_suspicious(order))) {
    return std::nullopt;
  }
  out.phase = rollout_phase::moving;
  out.moves_from = now;
  out.moved_by = now + bounded(options_.ramp, options_.ramp_part, order);
  out.reason = "no worse than the present version";
  return out;
}

bool rollout_conductor::is_complete(const rollout& order, const rollout_rows& rows,
                                    const fleet_standing& fleet, wall_time now) const
{
  if (order.phase != rollout_phase::moving || now < order.moved_by) {
    return false;
  }
  const auto is_through = [&](const daemon_id& id) {
    const auto* row = rows.find(order.order, id);
    return row != nullptr && row->moved && row->open_calls == 0;
  };
  // Daemons that are not heard may still be sending to the old endpoints, but not for ever: the
  // deadline is theirs as well.
  const bool waits = fleet.some_silent && now < order.deadline;
  return !waits && std::all_of(fleet.live.begin(), fleet.live.end(), is_through);
}

void rollout_conductor::retain(const rollout_book& book)
{
  std::erase_if(judges_, [&](const auto& it) {
    const auto is_its = [&](const auto& e) {
      return e.second.latest.order == it.first && is_open(e.second.latest);
    };
    return std::none_of(book.all().begin(), book.all().end(), is_its);
  });
}

} // namespace wisteriaflow::gateway
