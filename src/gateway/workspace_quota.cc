#include "wisteriaflow/gateway/workspace_quota.h"

#include <algorithm>
#include <cmath>
#include <numeric>
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

// Time after which an owner that does not answer has a successor.
constexpr std::chrono::milliseconds owner_succession_time{2'000};
// Retry-After of a daemon that may grant only a part of the rate until it has heard from the
// others.
constexpr std::chrono::milliseconds partial_owner_retry_delay{1'000};
constexpr std::chrono::milliseconds min_retry_delay{1};

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

// Units in a bucket that are kept for more urgent ranks.
double reserved_units(const admission::rate_limit& bucket, const load::rank_demand& demand,
                      load::rank_class rank, mono_time now)
{
  return load::reserved_before(rank, demand.rates(now),
                               {.rate = bucket.rate(), .capacity = bucket.capacity()});
}

admission::rate_limit make_bucket(double rate, std::chrono::milliseconds burst, double credit,
                                  mono_time now)
{
  admission::rate_limit out(rate, burst);
  out.consume(rate * seconds(burst) * (1 - credit), now);
  return out;
}

} // namespace

workspace_quota::workspace_quota(workspace_quota_options options)
    : options_(std::move(options)), random_(options_.seed)
{
}

double workspace_quota::shared_rate(double rate, std::size_t requesters) const
{
  return rate * (1 - options_.local_fraction) * live_fraction(requesters);
}

double workspace_quota::local_rate(double rate) const
{
  return rate * options_.local_fraction / static_cast<double>(fleet_.running_count);
}

double workspace_quota::live_fraction(std::size_t requesters) const
{
  const fleet_view fleet{.live_count = fleet_.live_count + requesters,
                         .running_count = fleet_.running_count};
  return fleet.live_fraction();
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
          .shared = make_bucket(shared_rate(w.rate, 0), shared_burst, initial_credit, now),
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

const daemon_id& workspace_quota::present_owner(account& it, const workspace_id& workspace,
                                                mono_time now)
{
  if (it.owner_version == fleet_version_) {
    return it.owner;
  }
  it.owner_version = fleet_version_;
  auto owner = owner_of(workspace);
  if (owner != it.owner && owner == options_.self) {
    // This daemon does not know what the former owner has granted, so it starts as after a restart.
    const auto burst = burst_time(shared_slack * (it.burst + options_.slack),
                                  it.rate * (1 - options_.local_fraction));
    it.shared = make_bucket(shared_rate(it.rate, it.requesters.size()), burst, initial_credit, now);
  }
  it.owner = std::move(owner);
  return it.owner;
}

void workspace_quota::set_fleet(fleet_view fleet, mono_time now)
{
  fleet.running_count = std::max(fleet.running_count, fleet.live_count);
  const bool is_first = !knows_fleet();
  if (fleet == fleet_ && !is_first) {
    return;
  }
  fleet_ = std::move(fleet);
  ++fleet_version_;
  for (auto& [workspace, it] : accounts_) {
    for (const auto* live : {&fleet_.candidates, &fleet_.draining}) {
      for (const auto& id : *live) {
        it.requesters.erase(id);
      }
    }
  }
  if (!is_first) {
    apply_rates(now);
    return;
  }
  for (auto& [id, it] : accounts_) {
    it = make_account({.id = id, .rate = it.rate, .burst = it.burst}, now);
  }
}

// A larger part of the rate comes with a larger burst. It starts with no more credit than a new
// bucket: several daemons that were started at once may be the owner in turn within a second, and
// each would grant a burst.
void workspace_quota::set_shared_rate(account& it, mono_time now) const
{
  const double most = std::max(it.shared.available(now),
                               initial_credit * shared_slack * (it.burst + options_.slack));
  it.shared.set_rate(shared_rate(it.rate, it.requesters.size()), now);
  it.shared.consume(std::max(0.0, it.shared.available(now) - most), now);
}

void workspace_quota::apply_rates(mono_time now)
{
  for (auto& [id, it] : accounts_) {
    set_shared_rate(it, now);
    it.local.set_rate(local_rate(it.rate), now);
  }
}

void workspace_quota::count_requester(account& it, const daemon_id& from, mono_time now) const
{
  const auto is_live = [&from](const auto& ids) {
    return std::find(ids.begin(), ids.end(), from) != ids.end();
  };
  const bool is_counted = from.empty() || from == options_.self || is_live(fleet_.candidates) ||
                          is_live(fleet_.draining);
  // More requesters than running daemons cannot be: a faulty peer must not fill the memory.
  const bool is_full =
      it.requesters.size() >= fleet_.running_count && !it.requesters.contains(from);
  if (is_counted || is_full) {
    return;
  }
  const auto until = now + options_.requester_live_time;
  if (it.requesters.insert_or_assign(from, until).second) {
    set_shared_rate(it, now);
  }
}

void workspace_quota::forget_old_requesters(mono_time now)
{
  for (auto& [workspace, it] : accounts_) {
    if (std::erase_if(it.requesters, [now](const auto& each) { return now >= each.second; }) > 0) {
      set_shared_rate(it, now);
    }
  }
}

void workspace_quota::update_demand(mono_time now)
{
  const double elapsed = updated_at_ ? seconds(now - *updated_at_) : 0;
  updated_at_ = now;
  forget_old_requesters(now);
  if (elapsed <= 0) {
    return;
  }
  const double kept = std::exp(-elapsed / seconds(options_.smoothing_time));
  for (auto& [id, it] : accounts_) {
    for (std::size_t rank = 0; rank < load::rank_classes; ++rank) {
      it.demand[rank] = kept * it.demand[rank] + (1 - kept) * it.requested[rank] / elapsed;
    }
    it.requested = {};
  }
}

bool workspace_quota::take_credit(account& it, double units, load::rank_class rank)
{
  const auto first = it.credit.begin() + static_cast<std::ptrdiff_t>(load::index_of(rank));
  if (std::accumulate(first, it.credit.end(), 0.0) < units) {
    return false;
  }
  // The units of the least urgent rank come first: the others serve fewer ranks.
  for (auto last = it.credit.end(); last != first && units > 0;) {
    --last;
    const double taken = std::min(*last, units);
    *last -= taken;
    units -= taken;
  }
  return true;
}

quota_decision workspace_quota::admit(const workspace_id& workspace, double units, mono_time now,
                                      load::rank_class rank)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return {};
  }
  if (!knows_fleet()) {
    return {.outcome = quota_outcome::fleet_unknown};
  }
  auto& it = found->second;
  it.requested[load::index_of(rank)] += units;
  if (now >= it.credit_until) {
    it.credit = {};
  }
  if (take_credit(it, units, rank)) {
    return {};
  }
  const auto& owner = present_owner(it, workspace, now);
  if (owner != options_.self) {
    const double ahead = it.demand[load::index_of(rank)] * seconds(options_.prefetch_time);
    return {.outcome = quota_outcome::ask_owner, .owner = owner, .units_to_request = units + ahead};
  }
  const auto granted = grant_units(
      it, {.workspace = workspace, .min_units = units, .wanted_units = units, .rank = rank}, now);
  return on_grant(workspace, units, granted, now, rank);
}

std::optional<quota_grant> workspace_quota::grant(const quota_request& request, mono_time now)
{
  const auto found = accounts_.find(request.workspace);
  if (found == accounts_.end() || !knows_fleet() ||
      present_owner(found->second, request.workspace, now) != options_.self) {
    return std::nullopt;
  }
  count_requester(found->second, request.from, now);
  return grant_units(found->second, request, now);
}

std::optional<daemon_id> workspace_quota::other_owner(const workspace_id& workspace, mono_time now)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end() || !knows_fleet()) {
    return std::nullopt;
  }
  const auto& owner = present_owner(found->second, workspace, now);
  return owner == options_.self ? std::nullopt : std::optional(owner);
}

quota_grant workspace_quota::grant_units(account& it, const quota_request& request, mono_time now)
{
  auto& bucket = it.shared;
  const double min_units = request.min_units;
  it.shared_demand.record(request.rank, min_units, now);
  const double reserved = reserved_units(bucket, it.shared_demand, request.rank, now);
  const auto next_allowed_at = bucket.next_allowed_at(now, reserved);
  if (next_allowed_at > now) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(next_allowed_at - now);
    return {.retry_after = wait + std::chrono::milliseconds{1}};
  }
  // Units ahead of need come only from what is available.
  const double ahead = std::min(request.wanted_units, bucket.available(now) - reserved);
  if (ahead >= min_units) {
    bucket.consume(ahead, now);
    it.shared_demand.record(request.rank, ahead - min_units, now);
    return {.units = ahead};
  }
  if (!take(bucket, live_fraction(it.requesters.size()), min_units, reserved, now)) {
    return {.retry_after = partial_owner_retry_delay};
  }
  return {.units = min_units};
}

// A request may be larger than what a bucket holds, and if every daemon let one run its bucket into
// debt, the debts would add up to many times the limit. Such a request is admitted with the
// probability at which all daemons together admit what they hold, or else one request.
bool workspace_quota::take(admission::rate_limit& bucket, double share, double units,
                           double reserved, mono_time now)
{
  const double unreserved = bucket.available(now) - reserved;
  const double chance = std::min(1.0, std::max(unreserved / units, share));
  bucket.consume(chance * units, now);
  return std::bernoulli_distribution(chance)(random_);
}

quota_decision workspace_quota::on_grant(const workspace_id& workspace, double units,
                                         const std::optional<quota_grant>& grant, mono_time now,
                                         load::rank_class rank)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return {};
  }
  auto& it = found->second;
  if (!grant || grant->units < units) {
    const auto retry_at = grant ? std::optional(now + grant->retry_after) : std::nullopt;
    return admit_locally(it, units, now, retry_at, rank);
  }
  it.credit[load::index_of(rank)] += grant->units - units;
  it.credit_until = now + options_.grant_ttl;
  return {};
}

quota_decision workspace_quota::admit_locally(account& it, double units, mono_time now,
                                              std::optional<mono_time> retry_at,
                                              load::rank_class rank)
{
  it.local_demand.record(rank, units, now);
  const double reserved = reserved_units(it.local, it.local_demand, rank, now);
  const double share = 1.0 / static_cast<double>(fleet_.running_count);
  if (it.local.next_allowed_at(now, reserved) <= now &&
      take(it.local, share, units, reserved, now)) {
    return {};
  }
  const auto next_allowed_at =
      std::max(it.local.next_allowed_at(now, reserved), now + min_retry_delay);
  const auto owner_answers_at = retry_at.value_or(now + owner_succession_time);
  return {.outcome = quota_outcome::refused,
          .retry_at = std::min(owner_answers_at, next_allowed_at)};
}

void workspace_quota::refund(const workspace_id& workspace, double units, mono_time now,
                             load::rank_class rank)
{
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return;
  }
  auto& it = found->second;
  if (now >= it.credit_until) {
    it.credit = {};
  }
  it.credit[load::index_of(rank)] += units;
  it.credit_until = std::max(it.credit_until, now + options_.grant_ttl);
}

} // namespace wisteriaflow::gateway
