#include "wisteriaflow/gateway/plain_choice.h"

#include <algorithm>

namespace wisteriaflow::gateway {

std::optional<std::size_t> choose_plain(std::span<const plain_candidate> candidates,
                                        std::mt19937_64& rng)
{
  const auto load = [](const plain_candidate& c) {
    return static_cast<double>(c.own_calls) / std::max(1U, c.places);
  };
  std::optional<std::size_t> best;
  std::uint64_t equals = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double here = load(candidates[i]);
    if (!best || here < load(candidates[*best])) {
      best = i;
      equals = 1;
    } else if (here == load(candidates[*best]) && rng() % ++equals == 0) {
      best = i; // each equal is kept with the same probability
    }
  }
  return best;
}

} // namespace wisteriaflow::gateway
