// The cheapest mix of instances that carries a demand, also after the loss of any one zone.
//
// All amounts of work are parts of the demand: an instance of weight 0.25 carries a quarter of it.
//
//   const auto m = cheapest_mix({.columns = columns, .required = 1.2});
//   if (m.meets_requirements) { ... m.counts[i] instances of columns[i] ... }

#ifndef WISTERIAFLOW_CAPACITY_MIX_H_
#define WISTERIAFLOW_CAPACITY_MIX_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

// One way to get instances. Two columns may have the same key: those that run already, and new
// ones, whose start costs something.
struct mix_column {
  offer_key key;
  double price_per_hour = 0;
  double weight = 0;
  std::int64_t limit = std::numeric_limits<std::int64_t>::max();

  friend bool operator==(const mix_column&, const mix_column&) = default;
};

struct mix_problem {
  std::vector<mix_column> columns;
  double required = 1;                 // of all zones together
  double required_after_zone_loss = 1; // of all zones but any one; 0 does not bind
  std::int64_t min_instances = 0;
  std::int64_t max_instances = std::numeric_limits<std::int64_t>::max();
  double max_reclaimable_share = 1; // of the number of instances

  friend bool operator==(const mix_problem&, const mix_problem&) = default;
};

struct mix {
  std::vector<std::int64_t> counts; // by column
  double price_per_hour = 0;
  bool meets_requirements = false;

  friend bool operator==(const mix&, const mix&) = default;
};

// A cheap mix, found by greedy construction and local search from several starts: mostly the
// cheapest one (docs/design/capacity.md has figures), never wrong about `meets_requirements`. If
// the requirements cannot be met, it carries as much of them as the limits allow.
[[nodiscard]] mix cheapest_mix(const mix_problem& problem);

// How far `counts` misses the requirements; 0 if it meets them.
[[nodiscard]] double shortfall_of(const mix_problem& problem,
                                  const std::vector<std::int64_t>& counts);

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_MIX_H_
