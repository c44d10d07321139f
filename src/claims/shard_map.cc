#include "wisteriaflow/claims/shard_map.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::claims {

std::uint32_t shard_of(const hash128& key, std::uint32_t shards)
{
  return static_cast<std::uint32_t>(key.high % shards);
}

std::optional<daemon_id> preferred_owner(std::uint32_t shard, std::span<const daemon_id> live)
{
  if (live.empty()) {
    return std::nullopt;
  }
  const auto rank = [shard](const daemon_id& id) {
    return std::pair(rendezvous_score(shard, id.value()), id);
  };
  return *std::max_element(live.begin(), live.end(),
                           [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

} // namespace wisteriaflow::claims
