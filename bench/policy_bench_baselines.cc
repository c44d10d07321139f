#include "policy_bench_baselines.h"

#include <algorithm>
#include <vector>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::bench {
namespace {

using routing::endpoint_slot;

// The block whose hash decides; the last one if the prompt is shorter.
constexpr std::size_t affinity_block_index = 32;

// Returns a random one of the endpoints with the lowest score.
template <typename function>
endpoint_slot lowest(std::span<const endpoint_slot> live, std::mt19937_64& rng, function score)
{
  std::vector<endpoint_slot> best;
  for (const auto it : live) {
    if (!best.empty() && score(it) < score(best.front())) {
      best.clear();
    }
    if (best.empty() || score(it) == score(best.front())) {
      best.push_back(it);
    }
  }
  return best[rng() % best.size()];
}

} // namespace

endpoint_slot choose_by_baseline(policy kind, const routing::endpoint_table& table,
                                 std::span<const endpoint_slot> live,
                                 std::span<const std::uint64_t> blocks,
                                 std::size_t& round_robin_index, std::mt19937_64& rng)
{
  if (kind == policy::round_robin) {
    return live[round_robin_index++ % live.size()];
  }
  if (kind == policy::least_loaded) {
    return lowest(live, rng, [&](endpoint_slot it) {
      return table.at(it).waiting_now() + table.at(it).running_now();
    });
  }
  if (kind == policy::prefix_affinity && !blocks.empty()) {
    const auto key = blocks[std::min(blocks.size() - 1, affinity_block_index)];
    return lowest(live, rng, [&](endpoint_slot it) {
      return ~rendezvous_score(key, table.at(it).description.id.value());
    });
  }
  return live[rng() % live.size()];
}

} // namespace wisteriaflow::bench
