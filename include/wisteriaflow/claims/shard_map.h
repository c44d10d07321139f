// Maps keys to shards and shards to the daemons that should own them.

#ifndef WISTERIAFLOW_CLAIMS_SHARD_MAP_H_
#define WISTERIAFLOW_CLAIMS_SHARD_MAP_H_

#include <cstdint>
#include <optional>
#include <span>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::claims {

// Returns the shard of `key` among `shards` (at least 1).
[[nodiscard]] std::uint32_t shard_of(const hash128& key, std::uint32_t shards);

// Returns the daemon that should own `shard`: the one with the highest rendezvous score among
// `live`, the daemons that are neither gone nor leaving. When a daemon ends, only its own shards
// move. Returns nothing if `live` is empty. Daemons whose views differ may choose differently: the
// conditional update of the tail decides between them.
[[nodiscard]] std::optional<daemon_id> preferred_owner(std::uint32_t shard,
                                                       std::span<const daemon_id> live);

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_SHARD_MAP_H_
