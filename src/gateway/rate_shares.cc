#include "wisteriaflow/gateway/rate_shares.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

// Holders of a share: several, so that the death of one leaves the endpoint in use, and few, since
// each may have a request saved up.
constexpr double most_holders = 4;
// A share is worth this at least: with less its holder would come to use it too seldom.
constexpr double least_share = 0.25; // requests/s
// Calls come unevenly: what a holder could not use for so long it may send later.
constexpr std::chrono::milliseconds share_burst{250};
// An endpoint that takes nothing is asked this often all the same, or nobody would learn that it
// takes requests again.
constexpr double least_rate = 1.0 / 60; // requests/s

std::size_t holders_of(double rate)
{
  return static_cast<std::size_t>(std::clamp(rate / least_share, 1.0, most_holders));
}

mono_time::duration interval_of(double rate)
{
  return std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(1 / rate));
}

} // namespace

void rate_shares::divide(const endpoint_id& id, entry& it, mono_time now)
{
  const auto rank = rendezvous_rank(hash64_of(id.value()), self_, fleet_.candidates);
  const auto holders = std::min(holders_of(it.rate), fleet_.candidates.size() + 1);
  const bool was_held = std::exchange(it.held, !fleet_.leaving && rank < holders);
  const double share = it.rate * fleet_.live_fraction() / static_cast<double>(holders);
  if (!it.held || was_held) {
    it.share.set_rate(share, now);
    return;
  }
  // The holders begin one after the other, at the rate's own distance.
  it.share = admission::rate_limit(share, share_burst);
  it.share.take(static_cast<double>(rank + 1) / static_cast<double>(holders), now);
}

void rate_shares::set_fleet(fleet_view fleet, mono_time now)
{
  if (fleet == fleet_) {
    return;
  }
  fleet_ = std::move(fleet);
  for (auto& [id, it] : entries_) {
    divide(id, it, now);
  }
}

void rate_shares::set(const endpoint_id& id, double rate, mono_time now)
{
  const double kept = std::max(rate, least_rate);
  auto& it = entries_[id];
  if (it.rate != kept) {
    it.rate = kept;
    divide(id, it, now);
  }
}

mono_time rate_shares::open_at(const endpoint_id& id, mono_time now) const
{
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return now;
  }
  return it->second.held ? it->second.share.open_at(now) : now + interval_of(it->second.rate);
}

void rate_shares::take(const endpoint_id& id, mono_time now)
{
  const auto it = entries_.find(id);
  if (it != entries_.end()) {
    it->second.share.take(1, now);
  }
}

} // namespace wisteriaflow::gateway
