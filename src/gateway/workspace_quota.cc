#include "wisteriaflow/gateway/workspace_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

double seconds(mono_time::duration d)
{
  return std::chrono::duration<double>(d).count();
}

// Of one daemon's bucket, as time at the workspace's rate: it does not change with the part.
std::chrono::milliseconds burst_time(double burst, double slack, double rate)
{
  constexpr double slack_for_bursts = 0.5;
  const double s = (burst + slack_for_bursts * slack) / rate;
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(s));
}

} // namespace

void workspace_quota::set_workspaces(const std::vector<workspace_definition>& declared,
                                     mono_time now)
{
  std::map<workspace_id, account> accounts;
  for (const auto& w : declared) {
    if (w.rate <= 0) {
      continue;
    }
    const auto known = accounts_.find(w.id);
    if (known != accounts_.end() && known->second.rate == w.rate &&
        known->second.burst == w.burst) {
      accounts.insert(std::move(*known));
      continue;
    }
    const auto burst = burst_time(w.burst, options_.slack, w.rate);
    const double part = w.rate * part_of(w.id, now);
    account fresh{.rate = w.rate, .burst = w.burst, .own = {part, burst}};
    // Begins without credit, or each restart and each change would grant the burst once more.
    fresh.own.take(part * seconds(burst), now);
    accounts.emplace(w.id, fresh);
  }
  accounts_ = std::move(accounts);
}

void workspace_quota::on_demand(const daemon_id& peer, workspace_demand demand, mono_time now)
{
  peers_[peer] = {.demand = std::move(demand), .valid_until = now + options_.demand_valid};
}

double workspace_quota::part_of(const workspace_id& workspace, mono_time now) const
{
  const double even = 1.0 / static_cast<double>(std::max<std::size_t>(1, daemons_));
  const auto demand_in = [&workspace](const workspace_demand& all) {
    const auto it = all.find(workspace);
    return it == all.end() ? 0.0 : it->second;
  };
  const double own = demand_in(demand_);
  double total = own;
  std::size_t heard = 1;
  for (const auto& [peer, told] : peers_) {
    if (now < told.valid_until) {
      total += demand_in(told.demand);
      ++heard;
    }
  }
  // Daemons that are not heard of keep their even part: they may be admitting all the same.
  const double heard_part = std::min(1.0, even * static_cast<double>(heard));
  if (total <= 0) {
    return even;
  }
  return options_.even_part * even + (1 - options_.even_part) * heard_part * own / total;
}

void workspace_quota::refresh(mono_time now)
{
  const double elapsed = refreshed_at_ ? seconds(now - *refreshed_at_) : 0;
  refreshed_at_ = now;
  if (elapsed > 0) {
    const double kept = std::exp(-elapsed / seconds(options_.smoothing));
    for (auto& [id, it] : accounts_) {
      auto& demand = demand_[id];
      demand = kept * demand + (1 - kept) * it.asked / elapsed;
      it.asked = 0;
    }
  }
  for (auto& [id, it] : accounts_) {
    it.own.set_rate(it.rate * part_of(id, now), now);
  }
}

std::optional<mono_time> workspace_quota::admit(const workspace_id& workspace, double amount,
                                                mono_time now)
{
  const auto it = accounts_.find(workspace);
  if (it == accounts_.end()) {
    return std::nullopt;
  }
  it->second.asked += amount;
  const auto open_at = it->second.own.open_at(now);
  if (open_at > now) {
    return open_at;
  }
  it->second.own.take(amount, now);
  return std::nullopt;
}

void workspace_quota::give_back(const workspace_id& workspace, double amount, mono_time now)
{
  const auto it = accounts_.find(workspace);
  if (it != accounts_.end()) {
    it->second.own.take(-amount, now);
  }
}

} // namespace wisteriaflow::gateway
