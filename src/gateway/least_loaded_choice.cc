#include "wisteriaflow/gateway/least_loaded_choice.h"

#include <algorithm>

namespace wisteriaflow::gateway {

std::optional<std::size_t> choose_least_loaded(std::span<const plain_candidate> candidates,
                                               std::mt19937_64& rng)
{
  const auto load = [](const plain_candidate& c) {
    return static_cast<double>(c.own_calls) / std::max(1U, c.places);
  };
  std::optional<std::size_t> best;
  std::uint64_t tie_count = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double candidate_load = load(candidates[i]);
    if (!best || candidate_load < load(candidates[*best])) {
      best = i;
      tie_count = 1;
    } else if (candidate_load == load(candidates[*best]) && rng() % ++tie_count == 0) {
      best = i; // reservoir sampling: each equal is chosen with the same probability
    }
  }
  return best;
}

} // namespace wisteriaflow::gateway
