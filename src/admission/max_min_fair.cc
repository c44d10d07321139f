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
  std::vector<double> parts(demands.size(), 0);
  double left = std::max(0.0, capacity);
  std::size_t remaining = demands.size();
  for (const auto i : order) {
    const double even = left / static_cast<double>(remaining);
    parts[i] = std::clamp(demands[i], 0.0, even);
    left -= parts[i];
    --remaining;
  }
  return parts;
}

} // namespace wisteriaflow::admission
