#include "wisteriaflow/membership/usage_ledger.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::membership {
namespace {

// Null without any daemon.
const member* best_of(const workspace_id& workspace, std::span<const member* const> daemons)
{
  const auto key = hash64_of(workspace.value());
  const auto it = std::ranges::max_element(
      daemons, {}, [key](const member* m) { return rendezvous_score(key, m->key.id); });
  return it == daemons.end() ? nullptr : *it;
}

} // namespace

usage_ledger::usage_ledger(usage_ledger_options options)
    : options_(std::move(options)), period_(options_.shortest_period)
{
}

void usage_ledger::set_own(const workspace_id& workspace, double tokens_per_second,
                           double requests_per_second)
{
  own_[workspace] = {.workspace = workspace,
                     .daemon = options_.self,
                     .tokens_per_second = tokens_per_second,
                     .requests_per_second = requests_per_second};
}

std::vector<usage_reports> usage_ledger::take_reports(std::span<const member* const> live_daemons,
                                                      mono_time now)
{
  if (now < report_due_) {
    return {};
  }
  std::vector<const member*> zone_daemons;
  std::ranges::copy_if(live_daemons, std::back_inserter(zone_daemons),
                       [this](const member* m) { return m->attributes.zone == options_.zone; });
  start_period(zone_daemons, now);
  std::map<daemon_id, usage_reports> by_receiver;
  collect_own(zone_daemons, now, by_receiver);
  report_collected(live_daemons, now, by_receiver);
  std::vector<usage_reports> due;
  for (auto& [to, reports] : by_receiver) {
    reports.to = to;
    due.push_back(std::move(reports));
  }
  return due;
}

void usage_ledger::start_period(std::span<const member* const> zone_daemons, mono_time now)
{
  const auto stretched =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(
          static_cast<double>(zone_daemons.size()) / options_.reports_per_second));
  period_ = std::max(options_.shortest_period, stretched);
  report_due_ = now + period_;
  ++sequence_;
}

// Sends the own usage to the zone's collectors, or keeps it where that is this daemon.
void usage_ledger::collect_own(std::span<const member* const> zone_daemons, mono_time now,
                               std::map<daemon_id, usage_reports>& due)
{
  std::vector<workspace_usage> largest;
  for (auto& [workspace, usage] : own_) {
    usage.sequence = sequence_;
    largest.push_back(usage);
  }
  std::erase_if(own_, [](const auto& item) {
    return item.second.tokens_per_second == 0 && item.second.requests_per_second == 0;
  });
  std::ranges::sort(largest, std::greater{}, &workspace_usage::tokens_per_second);
  largest.resize(std::min(largest.size(), options_.max_workspaces));
  for (const auto& usage : largest) {
    const member* collector = best_of(usage.workspace, zone_daemons);
    if (collector == nullptr || daemon_id{collector->key.id} == options_.self) {
      keep_report(usage, now);
    } else {
      due[daemon_id{collector->key.id}].usage.push_back(usage);
    }
  }
}

// Sends what was collected to the owners, or takes the sum from it where that is this daemon.
void usage_ledger::report_collected(std::span<const member* const> live_daemons, mono_time now,
                                    std::map<daemon_id, usage_reports>& due)
{
  owned_.clear();
  for (auto& [workspace, reports] : collected_) {
    const auto sum = collected_sum(workspace, now);
    const member* owner = best_of(workspace, live_daemons);
    if (owner == nullptr || daemon_id{owner->key.id} == options_.self) {
      owned_.insert(workspace);
      receive_sums(std::span(&sum, 1), now);
    } else if (!reports.empty()) {
      due[daemon_id{owner->key.id}].usage.push_back(sum);
    }
  }
  std::erase_if(collected_, [](const auto& item) { return item.second.empty(); });
}

void usage_ledger::keep_report(const workspace_usage& usage, mono_time now)
{
  auto& kept = collected_[usage.workspace][usage.daemon];
  // A restarted daemon counts from 1 again; its former reports lapse by their deadline.
  if (usage.sequence > kept.usage.sequence || now >= kept.good_until) {
    kept = {.usage = usage, .good_until = now + options_.periods_kept * period_};
  }
}

workspace_usage usage_ledger::collected_sum(const workspace_id& workspace, mono_time now)
{
  auto& reports = collected_[workspace];
  std::erase_if(reports, [now](const auto& item) { return now >= item.second.good_until; });
  workspace_usage sum{.workspace = workspace, .daemon = options_.self, .sequence = sequence_};
  for (const auto& [daemon, kept] : reports) {
    sum.tokens_per_second += kept.usage.tokens_per_second;
    sum.requests_per_second += kept.usage.requests_per_second;
  }
  return sum;
}

std::vector<workspace_usage> usage_ledger::receive_reports(std::span<const workspace_usage> reports,
                                                           mono_time now)
{
  std::vector<workspace_usage> sums;
  for (const auto& usage : reports) {
    keep_report(usage, now);
    if (owned_.contains(usage.workspace)) {
      sums.push_back(collected_sum(usage.workspace, now));
    } else if (const auto heard = fleet_usage(usage.workspace, now)) {
      sums.push_back(*heard);
    }
  }
  return sums;
}

void usage_ledger::receive_sums(std::span<const workspace_usage> sums, mono_time now)
{
  for (const auto& sum : sums) {
    sums_[sum.workspace] = {.usage = sum, .good_until = now + options_.periods_kept * period_};
  }
  std::erase_if(sums_, [now](const auto& item) { return now >= item.second.good_until; });
}

std::optional<workspace_usage> usage_ledger::fleet_usage(const workspace_id& workspace,
                                                         mono_time now) const
{
  const auto it = sums_.find(workspace);
  if (it == sums_.end() || now >= it->second.good_until) {
    return std::nullopt;
  }
  workspace_usage usage = it->second.usage;
  if (const auto own = own_.find(workspace); own != own_.end()) {
    usage.tokens_per_second = std::max(usage.tokens_per_second, own->second.tokens_per_second);
    usage.requests_per_second =
        std::max(usage.requests_per_second, own->second.requests_per_second);
  }
  return usage;
}

} // namespace wisteriaflow::membership
