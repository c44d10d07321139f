#include "wisteriaflow/admission/workspace_limiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "wisteriaflow/admission/max_min_fair.h"

namespace wisteriaflow::admission {
namespace {

constexpr std::array all_units = {share_unit::requests_per_second, share_unit::tokens_per_second,
                                  share_unit::tokens_in_flight};
constexpr double longest_retry_seconds = 60;
constexpr double shortest_refresh = 0.01; // s; sooner than that a rate can't be measured

mono_time after(mono_time now, double s)
{
  return now + std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
}

double total(const std::vector<double>& values)
{
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// The first one's part of `capacity` by demand, and of what is left over one in `headroom_parts`.
double local_part(double capacity, const std::vector<double>& demands, double headroom_parts)
{
  const auto parts = max_min_fair(capacity, demands);
  const double left = std::max(0.0, capacity - total(parts));
  return parts.front() + left / headroom_parts;
}

} // namespace

workspace_limiter::workspace_limiter(workspace_limiter_options options)
    : options_(std::move(options))
{
}

workspace_limiter::account workspace_limiter::make_account(const share_amounts& share) const
{
  // Until measured, the demand here is taken as an even part, as for daemons not heard of.
  share_amounts even = share;
  for (auto& value : even.values) {
    value /= std::max(1, daemons_);
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

void workspace_limiter::on_demand(const demand_report& report)
{
  if (report.daemon != options_.self) {
    peers_.insert_or_assign(report.daemon, report);
  }
}

demand_report workspace_limiter::local_demand(mono_time now) const
{
  demand_report report{.daemon = options_.self, .good_until = now + options_.report_good_for};
  for (const auto& [workspace, it] : accounts_) {
    report.demand.emplace(workspace, it.demand);
  }
  return report;
}

void workspace_limiter::measure(account& it, double elapsed) const
{
  const double smoothing = std::chrono::duration<double>(options_.smoothing).count();
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
  return std::max(daemons_, static_cast<int>(peers_.size()) + 1);
}

double workspace_limiter::headroom_parts() const
{
  return std::max(1.0, fleet_size() / options_.headroom_overcommit);
}

void workspace_limiter::gather()
{
  for (auto& [workspace, it] : accounts_) {
    it.heard.clear();
  }
  for (const auto& [daemon, report] : peers_) {
    for (const auto& [workspace, demand] : report.demand) {
      if (const auto it = accounts_.find(workspace); it != accounts_.end()) {
        it->second.heard.push_back(demand);
      }
    }
  }
}

std::vector<double> workspace_limiter::demands(const account& it, share_unit unit) const
{
  std::vector<double> found = {it.demand[unit]};
  for (const auto& demand : it.heard) {
    if (demand[unit] > 0) {
      found.push_back(demand[unit]);
    }
  }
  const int silent = daemons_ - 1 - static_cast<int>(peers_.size());
  found.resize(found.size() + static_cast<std::size_t>(std::max(0, silent)),
               it.share[unit] / std::max(1, daemons_));
  return found;
}

void workspace_limiter::derive(share_unit unit)
{
  const int daemons = fleet_size();
  std::vector<double> wanted;      // beyond the own share, for each workspace
  std::vector<double> wanted_here; // this daemon's part of the demand
  std::vector<double> unused;
  for (auto& [workspace, it] : accounts_) {
    const auto asked = demands(it, unit);
    const double fleet = total(asked);
    it.allowance[unit] = local_part(it.share[unit], asked, headroom_parts());
    wanted.push_back(std::max(0.0, fleet - it.share[unit]));
    wanted_here.push_back(fleet > 0 ? asked.front() / fleet : 1.0 / daemons);
    unused.push_back(std::max(0.0, it.share[unit] - fleet));
  }
  if (options_.lend) {
    lend(unit, wanted, wanted_here, unused);
  }
}

void workspace_limiter::lend(share_unit unit, const std::vector<double>& wanted,
                             const std::vector<double>& wanted_here,
                             const std::vector<double>& unused)
{
  const double all = total(unused);
  const auto lent = max_min_fair(all * options_.lent_part, wanted);
  const double left = std::max(0.0, all * options_.lent_part - total(lent));
  const double shares =
      std::accumulate(accounts_.begin(), accounts_.end(), 0.0,
                      [unit](double sum, const auto& it) { return sum + it.second.share[unit]; });
  std::size_t i = 0;
  for (auto& [workspace, it] : accounts_) {
    it.allowance[unit] += lent[i] * wanted_here[i];
    // What nobody asks for yet is headroom for all: a daemon's traffic is uneven, and a refusal
    // while the fleet has room helps nobody. A workspace's own unused share is in its allowance.
    const double of_others = all > 0 ? left * (all - unused[i]) / all : 0;
    it.allowance[unit] += shares > 0 ? of_others * it.share[unit] / shares / headroom_parts() : 0;
    ++i;
  }
}

void workspace_limiter::refresh(mono_time now)
{
  const double elapsed =
      refreshed_at_ ? std::chrono::duration<double>(now - *refreshed_at_).count() : 0;
  if (elapsed >= shortest_refresh) {
    for (auto& [workspace, it] : accounts_) {
      measure(it, elapsed);
    }
  }
  if (!refreshed_at_ || elapsed >= shortest_refresh) {
    refreshed_at_ = now;
  }
  std::erase_if(peers_, [now](const auto& it) { return it.second.good_until <= now; });
  gather();
  for (const auto unit : all_units) {
    derive(unit);
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
  const double wait = rate > 0 ? over / rate : longest_retry_seconds;
  return after(now, std::clamp(wait, 0.0, longest_retry_seconds));
}

std::optional<over_share> workspace_limiter::over_tokens(account& it, double tokens,
                                                         mono_time now) const
{
  // A call to a plain service has none: a debt of tokens is nothing to it.
  if (tokens <= 0) {
    return std::nullopt;
  }
  if (const auto at = it.tokens.open_at(now); at > now) {
    return over_share{.unit = share_unit::tokens_per_second, .retry_at = at};
  }
  // A request larger than the allowance runs alone rather than never.
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
    return over_share{.retry_at = after(now, longest_retry_seconds)};
  }
  auto& it = found->second;
  it.offered[share_unit::requests_per_second] += 1;
  it.offered[share_unit::tokens_per_second] += tokens;
  if (const auto at = it.requests.open_at(now); at > now) {
    return over_share{.unit = share_unit::requests_per_second, .retry_at = at};
  }
  if (auto over = over_tokens(it, tokens, now)) {
    return over;
  }
  it.requests.take(1, now);
  it.tokens.take(tokens, now);
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
  it.tokens.take(used - tokens, now);
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
