// Which shard a key belongs to, and which daemon should own a shard.

#ifndef WISTERIAFLOW_CLAIMS_SHARD_MAP_H_
#define WISTERIAFLOW_CLAIMS_SHARD_MAP_H_

#include <cstdint>
#include <optional>
#include <span>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::claims {

// The shard of `key` among `shards` (at least 1).
[[nodiscard]] std::uint32_t shard_of(const hash128& key, std::uint32_t shards);

// The daemon that should own `shard`: the highest rendezvous score among `live`, the daemons that
// are neither gone nor leaving, so that a daemon's going moves only its own shards. Nothing if
// `live` is empty. Daemons whose views differ may choose differently: the tail's version decides.
[[nodiscard]] std::optional<daemon_id> preferred_owner(std::uint32_t shard,
                                                       std::span<const daemon_id> live);

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_SHARD_MAP_H_
