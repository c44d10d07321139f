// Finds the cheapest mix of instances that meets a demand, also after the loss of any one zone.
//
// All capacities are fractions of the demand: an instance of weight 0.25 serves a quarter of it.
//
//   const auto m = cheapest_mix({.columns = columns, .required = 1.2});
//   if (m.meets_requirements) { ... m.counts[i] instances of columns[i] ... }

#ifndef WISTERIAFLOW_CAPACITY_INSTANCE_MIX_H_
#define WISTERIAFLOW_CAPACITY_INSTANCE_MIX_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

// One source of instances. Two columns may have the same key: one for existing instances and one
// for new ones, whose price includes the cost of starting them.
struct mix_column {
  offer_key key;
  double price_per_hour = 0;
  double weight = 0; // fraction of the demand that one instance serves
  std::int64_t limit = std::numeric_limits<std::int64_t>::max();

  friend bool operator==(const mix_column&, const mix_column&) = default;
};

struct mix_problem {
  std::vector<mix_column> columns;
  double required = 1;                 // capacity of all zones together
  double required_after_zone_loss = 1; // capacity without any one zone; 0: no requirement
  std::int64_t min_instances = 0;
  std::int64_t max_instances = std::numeric_limits<std::int64_t>::max();
  double max_reclaimable_share = 1; // fraction of the number of instances

  friend bool operator==(const mix_problem&, const mix_problem&) = default;
};

// The solution of a `mix_problem`.
struct mix {
  std::vector<std::int64_t> counts; // by column
  double price_per_hour = 0;
  bool meets_requirements = false;

  friend bool operator==(const mix&, const mix&) = default;
};

// Returns a cheap mix, found by greedy construction and local search from several starting points.
// It is usually the cheapest one (figures are in docs/design/capacity.md), and `meets_requirements`
// is always correct. If the requirements cannot be met, the mix comes as close to them as the
// limits allow.
[[nodiscard]] mix cheapest_mix(const mix_problem& problem);

// Returns a weighted sum of the amounts by which `counts` misses the requirements; 0 if it meets
// them.
[[nodiscard]] double shortfall_of(const mix_problem& problem,
                                  const std::vector<std::int64_t>& counts);

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_INSTANCE_MIX_H_
