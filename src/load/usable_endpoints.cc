#include "wisteriaflow/load/usable_endpoints.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace wisteriaflow::load {
namespace {

double load_of(const usable_candidate& c)
{
  return static_cast<double>(c.in_flight) / std::max(1U, c.slots);
}

// The avoided candidate with the best estimate that has a free slot.
std::optional<std::size_t> best_free(std::span<const usable_candidate> candidates)
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& c = candidates[i];
    if (!c.avoided || c.in_flight >= c.slots) {
      continue;
    }
    if (!best || std::pair(c.estimate, -load_of(c)) >
                     std::pair(candidates[*best].estimate, -load_of(candidates[*best]))) {
      best = i;
    }
  }
  return best;
}

std::size_t least_loaded(std::span<const usable_candidate> candidates)
{
  const auto it = std::min_element(candidates.begin(), candidates.end(), [](auto& a, auto& b) {
    return std::pair(load_of(a), -a.estimate) < std::pair(load_of(b), -b.estimate);
  });
  return static_cast<std::size_t>(it - candidates.begin());
}

} // namespace

double excess_share(std::span<const usable_candidate> candidates)
{
  double slots = 0;
  double in_flight = 0;
  for (const auto& c : candidates) {
    slots += c.avoided ? 0 : c.slots;
    in_flight += c.avoided ? 0 : c.in_flight;
  }
  const double capacity = full_fraction * slots;
  if (capacity == 0) {
    return 1;
  }
  return in_flight <= capacity ? 0 : 1 - capacity / in_flight;
}

std::vector<std::size_t> usable_endpoints(std::span<const usable_candidate> candidates, double draw)
{
  if (candidates.empty()) {
    return {};
  }
  std::vector<std::size_t> sound;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].avoided) {
      sound.push_back(i);
    }
  }
  if (sound.empty() || draw < excess_share(candidates)) {
    if (const auto best = best_free(candidates)) {
      return {*best};
    }
  }
  return sound.empty() ? std::vector{least_loaded(candidates)} : sound;
}

} // namespace wisteriaflow::load
