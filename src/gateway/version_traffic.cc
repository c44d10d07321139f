#include "wisteriaflow/gateway/version_traffic.h"

#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

// Whether calls that share `key` have gone over when `part` of all have.
bool has_moved(std::uint64_t key, std::uint64_t order, double part)
{
  constexpr std::uint64_t slices = 1'000;
  const auto id = std::to_string(key);
  return static_cast<double>(hash64_of(id, order) % slices) < part * static_cast<double>(slices);
}

} // namespace

void version_traffic::follow(const rollout_book& book)
{
  std::erase_if(open_, [&](const auto& it) {
    const auto* known = book.find(it.first);
    return known == nullptr || !gateway::is_open(*known) || known->order != it.second.order.order;
  });
  for (const auto& [service, entry] : book.all()) {
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

bool version_traffic::has_room(const order_state& it, std::string_view route) const
{
  const auto found = it.routes.find(route);
  const auto sent = found == it.routes.end() ? exposure{} : found->second.sent;
  double all_to_target = 0;
  double allowed = options_.beyond_part;
  for (const auto& [name, r] : it.routes) {
    all_to_target += static_cast<double>(r.sent.to_target);
    allowed += options_.target_part * static_cast<double>(r.sent.calls);
  }
  // What is beyond the part is of the whole daemon, for whichever route comes.
  const double in_part = options_.target_part * static_cast<double>(sent.calls + 1);
  const bool within = static_cast<double>(sent.to_target + 1) <= in_part + options_.beyond_part;
  return within && all_to_target + 1 <= allowed + options_.target_part;
}

version_lane version_traffic::lane_of(const call_to_place& call, bool is_repeat,
                                      wall_time now) const
{
  using side = version_lane::side;
  const auto found = open_.find(call.service);
  if (found == open_.end()) {
    return {};
  }
  const auto& it = found->second;
  version_lane out{.at = side::present, .target = it.order.target};
  if (it.order.phase == rollout_phase::trial) {
    if (!is_repeat && has_room(it, call.route)) {
      const auto period = (now - it.order.ordered_at) / options_.trial_period;
      out.at = side::trial;
      out.drawn_by = hash64_of(std::to_string(period), it.order.order);
      out.target_part = options_.target_part;
    }
    return out;
  }
  if (has_moved(call.key, it.order.order, it.order.moved_part(now))) {
    out.at = side::target;
  }
  return out;
}

void version_traffic::on_sent(const placed_call& call)
{
  ++under_way_[call.service][call.version];
  const auto found = open_.find(call.service);
  if (found == open_.end()) {
    return;
  }
  auto& it = found->second;
  auto& sent = it.routes[call.route].sent;
  ++sent.calls;
  sent.to_target += call.version == it.order.target ? 1 : 0;
}

void version_traffic::count(route_state& route, outcome_counts& to, const call_outcome& outcome,
                            bool is_present)
{
  ++to.calls;
  to.failed += outcome.failed ? 1 : 0;
  bool slow = false;
  const auto compare = [&](pace_limit& limit, const std::optional<double>& seconds) {
    if (!seconds) {
      return;
    }
    slow = slow || limit.is_slow(*seconds).value_or(false);
    if (is_present) {
      limit.note(*seconds);
    }
  };
  compare(route.first, outcome.first_seconds);
  compare(route.event, outcome.event_seconds);
  to.slow += slow ? 1 : 0;
}

void version_traffic::on_ended(const placed_call& call, const call_outcome& outcome)
{
  auto& versions = under_way_[call.service];
  if (auto& n = versions[call.version]; n <= 1) {
    versions.erase(call.version);
  } else {
    --n;
  }
  const auto found = open_.find(call.service);
  if (found == open_.end() || !outcome.counts) {
    return;
  }
  auto& it = found->second;
  auto& route = it.routes[call.route];
  auto& counts = it.row.outcomes[call.route];
  const bool is_present = call.version != it.order.target;
  count(route, is_present ? counts.present : counts.target[call.endpoint], outcome, is_present);
  ++it.row.sequence;
}

std::vector<rollout_row> version_traffic::rows(wall_time now) const
{
  std::vector<rollout_row> out;
  for (const auto& [service, it] : open_) {
    auto row = it.row;
    row.moved = it.order.moved_part(now) >= 1;
    const auto versions = under_way_.find(service);
    if (versions != under_way_.end()) {
      for (const auto& [version, n] : versions->second) {
        row.open_calls += version == it.order.target ? 0 : n;
      }
    }
    out.push_back(std::move(row));
  }
  return out;
}

version_traffic::exposure version_traffic::exposure_of(std::string_view service) const
{
  exposure out;
  const auto found = open_.find(service);
  if (found == open_.end()) {
    return out;
  }
  for (const auto& [name, r] : found->second.routes) {
    out.calls += r.sent.calls;
    out.to_target += r.sent.to_target;
  }
  return out;
}

} // namespace wisteriaflow::gateway
