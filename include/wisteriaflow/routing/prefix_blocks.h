// Cuts a prompt into blocks and hashes each one together with all before it, so that equal hashes
// mean equal prefixes.

#ifndef WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_
#define WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_

#include "wisteriaflow/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriaflow::routing {

// Length of a block in bytes of prompt, about 64 tokens of English.
inline constexpr std::size_t prefix_block_bytes = 256;

// Longest prefix that is hashed; later blocks bring little and would cost memory.
inline constexpr std::size_t max_prefix_blocks = 256;

// Hashes of the whole blocks of `prompt`, first block first: hash i covers blocks 0 to i and the
// model. A last block that is not full has none.
[[nodiscard]] std::vector<std::uint64_t> prefix_block_hashes(const model_id& model,
                                                             std::string_view prompt);

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_
