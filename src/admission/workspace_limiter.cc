#include "wisteriaflow/admission/workspace_limiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "wisteriaflow/admission/max_min_fair.h"

namespace wisteriaflow::admission {
namespace {

constexpr std::array all_share_units = {
    share_unit::requests_per_second, share_unit::tokens_per_second, share_unit::tokens_in_flight};
constexpr double max_retry_seconds = 60;
constexpr double min_refresh_seconds = 0.01; // s; a shorter interval is too short to measure a rate

mono_time after(mono_time now, double s)
{
  return now + std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
}

double total(const std::vector<double>& values)
{
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// The allowance of the first daemon in `demands`: its max-min fair part of `capacity`, plus the
// capacity without demand divided by `headroom_divisor`.
double local_allowance(double capacity, const std::vector<double>& demands, double headroom_divisor)
{
  const auto parts = max_min_fair(capacity, demands);
  const double left = std::max(0.0, capacity - total(parts));
  return parts.front() + left / headroom_divisor;
}

} // namespace

workspace_limiter::workspace_limiter(workspace_limiter_options options)
    : options_(std::move(options))
{
}

workspace_limiter::account workspace_limiter::make_account(const share_amounts& share) const
{
  // Until it is measured, the local demand is assumed to be an even part, as for daemons that have
  // not reported.
  share_amounts even = share;
  for (auto& value : even.values) {
    value /= std::max(1, daemon_count_);
  }
  return {.share = share,
          .demand = even,
          .requests = rate_limit(share[share_unit::requests_per_second], options_.burst),
          .tokens = rate_limit(share[share_unit::tokens_per_second], options_.burst)};
}

void workspace_limiter::set_shares(const workspace_amounts& shares, mono_time now)
{
  std::erase_if(accounts_, [&](const auto& it) { return !shares.contains(it.first); });
  for (const auto& [workspace, share] : shares) {
    const auto [it, inserted] = accounts_.try_emplace(workspace, make_account(share));
    it->second.share = share;
  }
  refresh(now);
}

void workspace_limiter::on_demand_report(const demand_report& report)
{
  if (report.daemon != options_.self) {
    peers_.insert_or_assign(report.daemon, report);
  }
}

demand_report workspace_limiter::local_demand(mono_time now) const
{
  demand_report report{.daemon = options_.self, .valid_until = now + options_.report_validity};
  for (const auto& [workspace, it] : accounts_) {
    report.demand.emplace(workspace, it.demand);
  }
  return report;
}

void workspace_limiter::update_demand(account& it, double elapsed) const
{
  const double smoothing = std::chrono::duration<double>(options_.demand_time_constant).count();
  const double weight = 1 - std::exp(-elapsed / smoothing);
  for (const auto unit : {share_unit::requests_per_second, share_unit::tokens_per_second}) {
    const double rate = it.offered[unit] / elapsed;
    it.demand[unit] += weight * (rate - it.demand[unit]);
  }
  it.demand[share_unit::tokens_in_flight] =
      it.tokens_in_flight + it.offered[share_unit::tokens_in_flight];
  it.offered = {};
  it.drain_rate += weight * (it.finished_tokens / elapsed - it.drain_rate);
  it.finished_tokens = 0;
}

int workspace_limiter::fleet_size() const
{
  return std::max(daemon_count_, static_cast<int>(peers_.size()) + 1);
}

double workspace_limiter::headroom_divisor() const
{
  return std::max(1.0, fleet_size() / options_.headroom_overcommit);
}

void workspace_limiter::collect_peer_demand()
{
  for (auto& [workspace, it] : accounts_) {
    it.peer_demand.clear();
  }
  for (const auto& [daemon, report] : peers_) {
    for (const auto& [workspace, demand] : report.demand) {
      if (const auto it = accounts_.find(workspace); it != accounts_.end()) {
        it->second.peer_demand.push_back(demand);
      }
    }
  }
}

std::vector<double> workspace_limiter::demands(const account& it, share_unit unit) const
{
  std::vector<double> found = {it.demand[unit]};
  for (const auto& demand : it.peer_demand) {
    if (demand[unit] > 0) {
      found.push_back(demand[unit]);
    }
  }
  const int unreported = daemon_count_ - 1 - static_cast<int>(peers_.size());
  found.resize(found.size() + static_cast<std::size_t>(std::max(0, unreported)),
               it.share[unit] / std::max(1, daemon_count_));
  return found;
}

void workspace_limiter::update_allowances(share_unit unit)
{
  const int daemons = fleet_size();
  std::vector<double> excess_demand;   // demand beyond its own share, per workspace
  std::vector<double> local_fractions; // part of the workspace's demand that is at this daemon
  std::vector<double> unused;
  for (auto& [workspace, it] : accounts_) {
    const auto daemon_demands = demands(it, unit);
    const double fleet_demand = total(daemon_demands);
    it.allowance[unit] = local_allowance(it.share[unit], daemon_demands, headroom_divisor());
    excess_demand.push_back(std::max(0.0, fleet_demand - it.share[unit]));
    local_fractions.push_back(fleet_demand > 0 ? daemon_demands.front() / fleet_demand
                                               : 1.0 / daemons);
    unused.push_back(std::max(0.0, it.share[unit] - fleet_demand));
  }
  if (options_.lend) {
    lend(unit, excess_demand, local_fractions, unused);
  }
}

void workspace_limiter::lend(share_unit unit, const std::vector<double>& excess_demand,
                             const std::vector<double>& local_fractions,
                             const std::vector<double>& unused)
{
  const double total_unused = total(unused);
  const auto lent = max_min_fair(total_unused * options_.lend_fraction, excess_demand);
  const double unlent = std::max(0.0, total_unused * options_.lend_fraction - total(lent));
  const double total_share =
      std::accumulate(accounts_.begin(), accounts_.end(), 0.0,
                      [unit](double sum, const auto& it) { return sum + it.second.share[unit]; });
  std::size_t i = 0;
  for (auto& [workspace, it] : accounts_) {
    it.allowance[unit] += lent[i] * local_fractions[i];
    // Capacity that is neither used nor lent is headroom for all workspaces: the traffic of a
    // daemon is uneven, and refusing requests while the fleet has spare capacity has no benefit. A
    // workspace's own unused share is already part of its allowance.
    const double unlent_by_others =
        total_unused > 0 ? unlent * (total_unused - unused[i]) / total_unused : 0;
    it.allowance[unit] +=
        total_share > 0 ? unlent_by_others * it.share[unit] / total_share / headroom_divisor() : 0;
    ++i;
  }
}

void workspace_limiter::refresh(mono_time now)
{
  const double elapsed =
      refreshed_at_ ? std::chrono::duration<double>(now - *refreshed_at_).count() : 0;
  if (elapsed >= min_refresh_seconds) {
    for (auto& [workspace, it] : accounts_) {
      update_demand(it, elapsed);
    }
  }
  if (!refreshed_at_ || elapsed >= min_refresh_seconds) {
    refreshed_at_ = now;
  }
  std::erase_if(peers_, [now](const auto& it) { return it.second.valid_until <= now; });
  collect_peer_demand();
  for (const auto unit : all_share_units) {
    update_allowances(unit);
  }
  for (auto& [workspace, it] : accounts_) {
    it.requests.set_rate(it.allowance[share_unit::requests_per_second], now);
    it.tokens.set_rate(it.allowance[share_unit::tokens_per_second], now);
  }
}

mono_time workspace_limiter::in_flight_retry_at(const account& it, double tokens,
                                                mono_time now) const
{
  const double over = it.tokens_in_flight + tokens - it.allowance[share_unit::tokens_in_flight];
  const double rate = std::max(it.drain_rate, it.allowance[share_unit::tokens_per_second]);
  const double wait = rate > 0 ? over / rate : max_retry_seconds;
  return after(now, std::clamp(wait, 0.0, max_retry_seconds));
}

std::optional<over_share> workspace_limiter::check_tokens(account& it, double tokens,
                                                          mono_time now) const
{
  // A call to a plain service has no tokens, so a debt of tokens must not delay it.
  if (tokens <= 0) {
    return std::nullopt;
  }
  if (const auto at = it.tokens.next_allowed_at(now); at > now) {
    return over_share{.unit = share_unit::tokens_per_second, .retry_at = at};
  }
  // A request larger than the allowance is admitted if no other is in flight; otherwise it could
  // never run.
  const bool fits = it.tokens_in_flight + tokens <= it.allowance[share_unit::tokens_in_flight];
  if (fits || it.tokens_in_flight <= 0) {
    return std::nullopt;
  }
  it.offered[share_unit::tokens_in_flight] += tokens;
  return over_share{.unit = share_unit::tokens_in_flight,
                    .retry_at = in_flight_retry_at(it, tokens, now)};
}

std::optional<over_share> workspace_limiter::admit(const workspace_id& workspace, double tokens,
                                                   mono_time now)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return over_share{.retry_at = after(now, max_retry_seconds)};
  }
  auto& it = found->second;
  it.offered[share_unit::requests_per_second] += 1;
  it.offered[share_unit::tokens_per_second] += tokens;
  if (const auto at = it.requests.next_allowed_at(now); at > now) {
    return over_share{.unit = share_unit::requests_per_second, .retry_at = at};
  }
  if (auto over = check_tokens(it, tokens, now)) {
    return over;
  }
  it.requests.consume(1, now);
  it.tokens.consume(tokens, now);
  it.tokens_in_flight += tokens;
  return std::nullopt;
}

void workspace_limiter::finish(const workspace_id& workspace, double tokens, double used,
                               mono_time now)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return;
  }
  auto& it = found->second;
  it.tokens_in_flight = std::max(0.0, it.tokens_in_flight - tokens);
  it.finished_tokens += tokens;
  it.tokens.consume(used - tokens, now);
}

share_amounts workspace_limiter::allowance(const workspace_id& workspace) const
{
  const auto it = accounts_.find(workspace);
  return it == accounts_.end() ? share_amounts{} : it->second.allowance;
}

std::string_view to_string(share_unit unit)
{
  switch (unit) {
  case share_unit::requests_per_second:
    return "requests per second";
  case share_unit::tokens_per_second:
    return "tokens per second";
  case share_unit::tokens_in_flight:
    return "tokens in flight";
  }
  return "unknown";
}

} // namespace wisteriaflow::admission
