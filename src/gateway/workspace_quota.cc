#include "wisteriaflow/gateway/workspace_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

// Fractions of the fleet's slack beyond its rate that go to the owner's bucket and to all local
// buckets together. The rest covers what one request may take beyond an empty bucket, and a change
// of owner.
constexpr double shared_slack = 0.4;
constexpr double local_slack = 0.2;
// Fraction of a bucket's burst that is available at the start: all daemons may just have been
// restarted after a burst.
constexpr double initial_credit = 0.25;

double seconds(mono_time::duration d)
{
  return std::chrono::duration<double>(d).count();
}

// Converts a burst of `units` to time at a bucket's rate, which does not change when the rate is
// divided anew.
std::chrono::milliseconds burst_time(double units, double rate)
{
  const std::chrono::duration<double> s(rate > 0 ? units / rate : 0);
  return std::chrono::duration_cast<std::chrono::milliseconds>(s);
}

admission::rate_limit make_bucket(double rate, std::chrono::milliseconds burst, double credit,
                                  mono_time now)
{
  admission::rate_limit out(rate, burst);
  out.consume(rate * seconds(burst) * (1 - credit), now);
  return out;
}

} // namespace

workspace_quota::workspace_quota(workspace_quota_options options) : options_(std::move(options)) {}

double workspace_quota::shared_rate(double rate) const
{
  return rate * (1 - options_.local_fraction) * fleet_.live_fraction();
}

double workspace_quota::local_rate(double rate) const
{
  return rate * options_.local_fraction / static_cast<double>(fleet_.running_count);
}

daemon_id workspace_quota::owner_of(const workspace_id& workspace) const
{
  const auto key = hash64_of(workspace.value());
  const auto* best = &options_.self;
  auto best_score = rendezvous_score(key, options_.self.value());
  for (const auto& id : fleet_.candidates) {
    const auto score = rendezvous_score(key, id.value());
    if (score > best_score) {
      best = &id;
      best_score = score;
    }
  }
  return *best;
}

workspace_quota::account workspace_quota::make_account(const workspace_definition& w,
                                                       mono_time now) const
{
  const double allowance = w.burst + options_.slack;
  const auto shared_burst =
      burst_time(shared_slack * allowance, w.rate * (1 - options_.local_fraction));
  const auto own_burst = burst_time(local_slack * allowance, w.rate * options_.local_fraction);
  return {.rate = w.rate,
          .burst = w.burst,
          .owner = owner_of(w.id),
          .shared = make_bucket(shared_rate(w.rate), shared_burst, initial_credit, now),
          .local = make_bucket(local_rate(w.rate), own_burst, initial_credit, now)};
}

void workspace_quota::set_workspaces(const std::vector<workspace_definition>& declared,
                                     mono_time now)
{
  std::map<workspace_id, account> accounts;
  for (const auto& w : declared) {
    if (w.rate <= 0) {
      continue;
    }
    const auto known = accounts_.find(w.id);
    const bool is_unchanged =
        known != accounts_.end() && known->second.rate == w.rate && known->second.burst == w.burst;
    accounts.emplace(w.id, is_unchanged ? std::move(known->second) : make_account(w, now));
  }
  accounts_ = std::move(accounts);
}

void workspace_quota::redistribute(account& it, const workspace_id& workspace, mono_time now)
{
  const auto owner = owner_of(workspace);
  it.shared.set_rate(shared_rate(it.rate), now);
  it.local.set_rate(local_rate(it.rate), now);
  if (owner != it.owner && owner == options_.self) {
    // This daemon does not know what the former owner has granted, so it starts as after a restart.
    const auto burst = burst_time(shared_slack * (it.burst + options_.slack),
                                  it.rate * (1 - options_.local_fraction));
    it.shared = make_bucket(shared_rate(it.rate), burst, initial_credit, now);
  }
  it.owner = owner;
}

void workspace_quota::set_fleet(fleet_view fleet, mono_time now)
{
  fleet.running_count = std::max(fleet.running_count, fleet.live_count);
  if (fleet == fleet_) {
    return;
  }
  fleet_ = std::move(fleet);
  for (auto& [id, it] : accounts_) {
    redistribute(it, id, now);
  }
}

void workspace_quota::update_demand(mono_time now)
{
  const double elapsed = updated_at_ ? seconds(now - *updated_at_) : 0;
  updated_at_ = now;
  if (elapsed <= 0) {
    return;
  }
  const double kept = std::exp(-elapsed / seconds(options_.smoothing_time));
  for (auto& [id, it] : accounts_) {
    it.demand = kept * it.demand + (1 - kept) * it.requested / elapsed;
    it.requested = 0;
  }
}

quota_decision workspace_quota::admit(const workspace_id& workspace, double units, mono_time now)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return {};
  }
  auto& it = found->second;
  it.requested += units;
  if (now >= it.credit_until) {
    it.credit = 0;
  }
  if (it.credit >= units) {
    it.credit -= units;
    return {};
  }
  if (it.owner != options_.self) {
    const double ahead = it.demand * seconds(options_.prefetch_time);
    return {
        .outcome = quota_outcome::ask_owner, .owner = it.owner, .units_to_request = units + ahead};
  }
  return on_grant(workspace, units, grant(workspace, units, units, now), now);
}

std::optional<quota_grant> workspace_quota::grant(const workspace_id& workspace, double min_units,
                                                  double wanted_units, mono_time now)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return std::nullopt;
  }
  auto& bucket = found->second.shared;
  const auto next_allowed_at = bucket.next_allowed_at(now);
  if (next_allowed_at > now) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(next_allowed_at - now);
    return quota_grant{.retry_after = wait + std::chrono::milliseconds{1}};
  }
  // Units ahead of need come only from what is available; a single request may run into debt.
  const double granted = std::max(min_units, std::min(wanted_units, bucket.available(now)));
  bucket.consume(granted, now);
  return quota_grant{.units = granted};
}

quota_decision workspace_quota::on_grant(const workspace_id& workspace, double units,
                                         const std::optional<quota_grant>& grant, mono_time now)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return {};
  }
  auto& it = found->second;
  if (!grant || grant->units < units) {
    const auto retry_at = grant ? std::optional(now + grant->retry_after) : std::nullopt;
    return admit_locally(it, units, now, retry_at);
  }
  it.credit += grant->units - units;
  it.credit_until = now + options_.grant_ttl;
  return {};
}

quota_decision workspace_quota::admit_locally(account& it, double units, mono_time now,
                                              std::optional<mono_time> retry_at) const
{
  const auto next_allowed_at = it.local.next_allowed_at(now);
  if (next_allowed_at > now) {
    return {.outcome = quota_outcome::refused,
            .retry_at = retry_at ? std::min(*retry_at, next_allowed_at) : next_allowed_at};
  }
  it.local.consume(units, now);
  return {};
}

void workspace_quota::refund(const workspace_id& workspace, double units, mono_time now)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return;
  }
  auto& it = found->second;
  it.credit = (now < it.credit_until ? it.credit : 0) + units;
  it.credit_until = std::max(it.credit_until, now + options_.grant_ttl);
}

} // namespace wisteriaflow::gateway
