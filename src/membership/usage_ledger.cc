#include "wisteriaflow/membership/usage_ledger.h"

#include "wisteriaflow/base/hash.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::membership {
namespace {

// Null without any live daemon.
const member* owner_of(const workspace_id& workspace, std::span<const member* const> daemons)
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
  const auto stretched =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(
          static_cast<double>(live_daemons.size()) / options_.owner_reports_per_second));
  period_ = std::max(options_.shortest_period, stretched);
  report_due_ = now + period_;
  ++sequence_;

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

  std::map<daemon_id, usage_reports> by_owner;
  for (const auto& usage : largest) {
    const member* owner = owner_of(usage.workspace, live_daemons);
    if (owner == nullptr) {
      continue;
    }
    const daemon_id id{owner->key.id};
    if (id == options_.self) {
      receive_sums(receive_reports(std::span(&usage, 1), now), now);
      continue;
    }
    auto& reports = by_owner[id];
    reports.owner = id;
    reports.usage.push_back(usage);
  }
  std::vector<usage_reports> due;
  for (auto& [owner, reports] : by_owner) {
    due.push_back(std::move(reports));
  }
  return due;
}

void usage_ledger::keep_report(const workspace_usage& usage, mono_time now)
{
  auto& kept = owned_[usage.workspace][usage.daemon];
  // A restarted daemon counts from 1 again; its former reports lapse by their deadline.
  if (usage.sequence > kept.usage.sequence || now >= kept.good_until) {
    kept = {.usage = usage, .good_until = now + options_.periods_kept * period_};
  }
}

workspace_usage usage_ledger::sum_of(const workspace_id& workspace, mono_time now)
{
  auto& reports = owned_[workspace];
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
    sums.push_back(sum_of(usage.workspace, now));
  }
  std::erase_if(owned_, [](const auto& item) { return item.second.empty(); });
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
