#include "wisteriaflow/membership/usage_aggregator.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::membership {
namespace {

// Returns null if there is no daemon.
const member* highest_ranked(const workspace_id& workspace, std::span<const member* const> daemons)
{
  const auto key = hash64_of(workspace.value());
  const auto it = std::ranges::max_element(
      daemons, {}, [key](const member* m) { return rendezvous_score(key, m->key.id); });
  return it == daemons.end() ? nullptr : *it;
}

} // namespace

usage_aggregator::usage_aggregator(usage_aggregator_options options)
    : options_(std::move(options)), period_(options_.min_period)
{
}

void usage_aggregator::set_local_usage(const workspace_id& workspace, double tokens_per_second,
                                       double requests_per_second)
{
  local_usage_[workspace] = {.workspace = workspace,
                             .daemon = options_.self,
                             .tokens_per_second = tokens_per_second,
                             .requests_per_second = requests_per_second};
}

std::vector<usage_reports>
usage_aggregator::take_reports(std::span<const member* const> live_daemons, mono_time now)
{
  if (now < report_due_) {
    return {};
  }
  std::vector<const member*> zone_daemons;
  std::ranges::copy_if(live_daemons, std::back_inserter(zone_daemons),
                       [this](const member* m) { return m->attributes.zone == options_.zone; });
  start_period(zone_daemons, now);
  std::map<daemon_id, usage_reports> by_receiver;
  report_local_usage(zone_daemons, now, by_receiver);
  report_zone_sums(live_daemons, now, by_receiver);
  std::vector<usage_reports> due;
  for (auto& [to, reports] : by_receiver) {
    reports.to = to;
    due.push_back(std::move(reports));
  }
  return due;
}

void usage_aggregator::start_period(std::span<const member* const> zone_daemons, mono_time now)
{
  const auto stretched =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(
          static_cast<double>(zone_daemons.size()) / options_.max_reports_per_second));
  period_ = std::max(options_.min_period, stretched);
  report_due_ = now + period_;
  ++sequence_;
}

// Adds this daemon's usage to the reports for the zone's collectors, or stores it where this daemon
// is the collector.
void usage_aggregator::report_local_usage(std::span<const member* const> zone_daemons,
                                          mono_time now, std::map<daemon_id, usage_reports>& due)
{
  std::vector<workspace_usage> largest;
  for (auto& [workspace, usage] : local_usage_) {
    usage.sequence = sequence_;
    largest.push_back(usage);
  }
  std::erase_if(local_usage_, [](const auto& item) {
    return item.second.tokens_per_second == 0 && item.second.requests_per_second == 0;
  });
  std::ranges::sort(largest, std::greater{}, &workspace_usage::tokens_per_second);
  largest.resize(std::min(largest.size(), options_.max_workspaces));
  for (const auto& usage : largest) {
    const member* collector = highest_ranked(usage.workspace, zone_daemons);
    if (collector == nullptr || daemon_id{collector->key.id} == options_.self) {
      store_report(usage, now);
    } else {
      due[daemon_id{collector->key.id}].usage.push_back(usage);
    }
  }
}

// Adds the zone's sums to the reports for the owners, or uses the sum as the fleet's where this
// daemon is the owner.
void usage_aggregator::report_zone_sums(std::span<const member* const> live_daemons, mono_time now,
                                        std::map<daemon_id, usage_reports>& due)
{
  owned_workspaces_.clear();
  for (auto& [workspace, reports] : collected_) {
    const auto sum = collected_sum(workspace, now);
    const member* owner = highest_ranked(workspace, live_daemons);
    if (owner == nullptr || daemon_id{owner->key.id} == options_.self) {
      owned_workspaces_.insert(workspace);
      receive_sums(std::span(&sum, 1), now);
    } else if (!reports.empty()) {
      due[daemon_id{owner->key.id}].usage.push_back(sum);
    }
  }
  std::erase_if(collected_, [](const auto& item) { return item.second.empty(); });
}

void usage_aggregator::store_report(const workspace_usage& usage, mono_time now)
{
  auto& stored = collected_[usage.workspace][usage.daemon];
  // A restarted daemon starts again at sequence 1; its earlier reports expire by their deadline.
  if (usage.sequence > stored.usage.sequence || now >= stored.valid_until) {
    stored = {.usage = usage, .valid_until = now + options_.validity_periods * period_};
  }
}

workspace_usage usage_aggregator::collected_sum(const workspace_id& workspace, mono_time now)
{
  auto& reports = collected_[workspace];
  std::erase_if(reports, [now](const auto& item) { return now >= item.second.valid_until; });
  workspace_usage sum{.workspace = workspace, .daemon = options_.self, .sequence = sequence_};
  for (const auto& [daemon, stored] : reports) {
    sum.tokens_per_second += stored.usage.tokens_per_second;
    sum.requests_per_second += stored.usage.requests_per_second;
  }
  return sum;
}

std::vector<workspace_usage>
usage_aggregator::receive_reports(std::span<const workspace_usage> reports, mono_time now)
{
  std::vector<workspace_usage> sums;
  for (const auto& usage : reports) {
    store_report(usage, now);
    if (owned_workspaces_.contains(usage.workspace)) {
      sums.push_back(collected_sum(usage.workspace, now));
    } else if (const auto known = fleet_usage(usage.workspace, now)) {
      sums.push_back(*known);
    }
  }
  return sums;
}

void usage_aggregator::receive_sums(std::span<const workspace_usage> sums, mono_time now)
{
  for (const auto& sum : sums) {
    fleet_sums_[sum.workspace] = {.usage = sum,
                                  .valid_until = now + options_.validity_periods * period_};
  }
  std::erase_if(fleet_sums_, [now](const auto& item) { return now >= item.second.valid_until; });
}

std::optional<workspace_usage> usage_aggregator::fleet_usage(const workspace_id& workspace,
                                                             mono_time now) const
{
  const auto it = fleet_sums_.find(workspace);
  if (it == fleet_sums_.end() || now >= it->second.valid_until) {
    return std::nullopt;
  }
  workspace_usage usage = it->second.usage;
  if (const auto own = local_usage_.find(workspace); own != local_usage_.end()) {
    usage.tokens_per_second = std::max(usage.tokens_per_second, own->second.tokens_per_second);
    usage.requests_per_second =
        std::max(usage.requests_per_second, own->second.requests_per_second);
  }
  return usage;
}

} // namespace wisteriaflow::membership
