#include "wisteriaflow/admission/max_min_fair.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace wisteriaflow::admission {

std::vector<double> max_min_fair(double capacity, std::span<const double> demands)
{
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
  std::vector<double> allocations(demands.size(), 0);
  double remaining_capacity = std::max(0.0, capacity);
  std::size_t remaining_demands = demands.size();
  for (const auto i : order) {
    const double fair_share = remaining_capacity / static_cast<double>(remaining_demands);
    allocations[i] = std::clamp(demands[i], 0.0, fair_share);
    remaining_capacity -= allocations[i];
    --remaining_demands;
  }
  return allocations;
}

} // namespace wisteriaflow::admission
