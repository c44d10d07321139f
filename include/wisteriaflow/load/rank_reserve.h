// Reserves units of a token bucket for the more urgent ranks while more is demanded than the
// bucket's rate.
//
//   rank_demand demand;
//   demand.record(rank, units, now);
//   const double reserved = reserved_before(rank, demand.rates(now), limit);
//   if (bucket.available(now) - reserved >= units) { ... }

#ifndef WISTERIAFLOW_LOAD_RANK_RESERVE_H_
#define WISTERIAFLOW_LOAD_RANK_RESERVE_H_

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/load/rank.h"

namespace wisteriaflow::load {

// The demand for units of each rank: an exponentially weighted mean over about a second.
class rank_demand {
 public:
  // Adds a request for `units`, whether or not it is granted.
  void record(rank_class rank, double units, mono_time now);

  // Units per second of each rank.
  [[nodiscard]] by_rank<double> rates(mono_time now) const;

 private:
  by_rank<double> recent_{}; // units, decayed to `decayed_at_`
  mono_time decayed_at_;
};

struct bucket_limit {
  double rate = 0;     // units/s
  double capacity = 0; // units in a full bucket
};

// Returns the units that are reserved for ranks more urgent than `rank`: what they are expected to
// request within half a second, at most half of the bucket together. While the demand is within the
// rate, or comes from a single rank, nothing is reserved.
[[nodiscard]] double reserved_before(rank_class rank, const by_rank<double>& demand,
                                     const bucket_limit& limit);

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_RANK_RESERVE_H_
