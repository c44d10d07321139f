// Cuts a prompt into blocks and hashes each one together with all before it, so that equal hashes
// mean equal prefixes.

#ifndef WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_
#define WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::routing {

// Length of a block in words of prompt, which are parted by white space.
inline constexpr std::size_t prefix_block_words = 16;

// Longest prefix that is hashed; later blocks bring little and would cost memory.
inline constexpr std::size_t max_prefix_blocks = 256;

// Hashes of the whole blocks of `prompt`, first block first: hash i covers blocks 0 to i and the
// model. A last block that is not full has none. These are the hashes by which engines name blocks
// in their cache events: hash64_of(word, previous) over the words, from hash64_of(model).
[[nodiscard]] std::vector<std::uint64_t> prefix_block_hashes(const model_id& model,
                                                             std::string_view prompt);

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_
