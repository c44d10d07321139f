#include "wisteriaflow/load/rank_reserve.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace wisteriaflow::load {
namespace {

// With a shorter time, two large calls of a small workspace would count as a surge. A surge of 7.5
// times the rate is detected after 0.15 s.
constexpr double averaging_seconds = 1;
constexpr double reserve_seconds = 0.5; // of the demand of a rank
constexpr double max_reserved = 0.5;    // fraction of a full bucket

double decay(mono_time::duration elapsed)
{
  const auto s = std::chrono::duration<double>(elapsed).count();
  return std::exp(-std::max(0.0, s) / averaging_seconds);
}

} // namespace

void rank_demand::record(rank_class rank, double units, mono_time now)
{
  const double kept = decay(now - decayed_at_);
  for (auto& it : recent_) {
    it *= kept;
  }
  decayed_at_ = std::max(decayed_at_, now);
  recent_[index_of(rank)] += units;
}

by_rank<double> rank_demand::rates(mono_time now) const
{
  auto out = recent_;
  for (auto& it : out) {
    it *= decay(now - decayed_at_) / averaging_seconds;
  }
  return out;
}

double reserved_before(rank_class rank, const by_rank<double>& demand, const bucket_limit& limit)
{
  if (std::accumulate(demand.begin(), demand.end(), 0.0) <= limit.rate) {
    return 0;
  }
  const auto end = demand.begin() + static_cast<std::ptrdiff_t>(index_of(rank));
  const double more_urgent = std::accumulate(demand.begin(), end, 0.0);
  return std::min(more_urgent * reserve_seconds, limit.capacity * max_reserved);
}

} // namespace wisteriaflow::load
