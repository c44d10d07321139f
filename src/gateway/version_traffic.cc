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
  exposure of_route;
  double all_to_target = 0;
  double all_calls = 0;
  for (const auto& [name, sent] : it.sent) {
    of_route = name == route ? sent : of_route;
    all_to_target += static_cast<double>(sent.to_target);
    all_calls += static_cast<double>(sent.calls);
  }
  // What is beyond the part is of the whole daemon, for whichever route comes.
  const auto allowed = [&](double calls) {
    return options_.target_part * (calls + 1) + options_.beyond_part;
  };
  return static_cast<double>(of_route.to_target + 1) <=
             allowed(static_cast<double>(of_route.calls)) &&
         all_to_target + 1 <= allowed(all_calls);
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
  auto& sent = it.sent[call.route];
  ++sent.calls;
  sent.to_target += call.version == it.order.target ? 1 : 0;
}

bool version_traffic::compare(route_pace& pace, const call_outcome& outcome, bool is_present)
{
  bool slow = false;
  const auto look_at = [&](pace_limit& limit, const std::optional<double>& seconds) {
    if (!seconds) {
      return;
    }
    slow = slow || limit.is_slow(*seconds).value_or(false);
    if (is_present) {
      limit.note(*seconds);
    }
  };
  look_at(pace.first, outcome.first_seconds);
  look_at(pace.event, outcome.event_seconds);
  return slow;
}

void version_traffic::on_ended(const placed_call& call, const call_outcome& outcome)
{
  auto& versions = under_way_[call.service];
  if (auto& n = versions[call.version]; n <= 1) {
    versions.erase(call.version);
  } else {
    --n;
  }
  if (!outcome.counts) {
    return;
  }
  const auto found = open_.find(call.service);
  const bool is_present = found == open_.end() || call.version != found->second.order.target;
  const bool slow = compare(paces_[call.service][call.route], outcome, is_present);
  if (found == open_.end()) {
    return;
  }
  auto& row = found->second.row;
  auto& counts = row.outcomes[call.route];
  auto& to = is_present ? counts.present : counts.target[call.endpoint];
  ++to.calls;
  to.failed += outcome.failed ? 1 : 0;
  to.slow += slow ? 1 : 0;
  ++row.sequence;
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
  for (const auto& [name, sent] : found->second.sent) {
    out.calls += sent.calls;
    out.to_target += sent.to_target;
  }
  return out;
}

} // namespace wisteriaflow::gateway
