#include "wisteriaflow/gateway/rate_shares.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

// Number of daemons that hold a share: several, so that the endpoint stays in use when one dies,
// and few, since each may have saved up a request.
constexpr double max_holders = 4;
// Smallest share: with less, its holder would use the endpoint too seldom.
constexpr double min_share = 0.25; // requests/s
// Calls arrive unevenly: a holder may send later what it could not use for this long.
constexpr std::chrono::milliseconds share_burst{250};
// An endpoint that accepts no requests still gets one at this rate, since otherwise no daemon would
// learn that it accepts requests again.
constexpr double min_rate = 1.0 / 60; // requests/s

std::size_t holders_of(double rate)
{
  return static_cast<std::size_t>(std::clamp(rate / min_share, 1.0, max_holders));
}

mono_time::duration interval_of(double rate)
{
  return std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(1 / rate));
}

} // namespace

void rate_shares::assign_share(const endpoint_id& id, entry& it, mono_time now)
{
  const auto rank = rendezvous_rank(hash64_of(id.value()), self_, fleet_.candidates);
  const auto holders = std::min(holders_of(it.rate), fleet_.candidates.size() + 1);
  const bool had_share = std::exchange(it.has_share, !fleet_.leaving && rank < holders);
  const double share = it.rate * fleet_.live_fraction() / static_cast<double>(holders);
  if (!it.has_share || had_share) {
    it.share.set_rate(share, now);
    return;
  }
  // Staggers the first requests of the holders by the interval of the total rate.
  it.share = admission::rate_limit(share, share_burst);
  it.share.consume(static_cast<double>(rank + 1) / static_cast<double>(holders), now);
}

void rate_shares::set_fleet(fleet_view fleet, mono_time now)
{
  if (fleet == fleet_) {
    return;
  }
  fleet_ = std::move(fleet);
  for (auto& [id, it] : entries_) {
    assign_share(id, it, now);
  }
}

void rate_shares::set(const endpoint_id& id, double rate, mono_time now)
{
  const double effective = std::max(rate, min_rate);
  auto& it = entries_[id];
  if (it.rate != effective) {
    it.rate = effective;
    assign_share(id, it, now);
  }
}

mono_time rate_shares::next_allowed_at(const endpoint_id& id, mono_time now) const
{
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return now;
  }
  return it->second.has_share ? it->second.share.next_allowed_at(now)
                              : now + interval_of(it->second.rate);
}

void rate_shares::take(const endpoint_id& id, mono_time now)
{
  const auto it = entries_.find(id);
  if (it != entries_.end()) {
    it->second.share.consume(1, now);
  }
}

} // namespace wisteriaflow::gateway
