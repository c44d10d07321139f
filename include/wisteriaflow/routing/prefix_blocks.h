// Splits a prompt into blocks and hashes each block together with all preceding ones, so that equal
// hashes mean equal prefixes.

#ifndef WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_
#define WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::routing {

// Number of prompt words in a block; words are separated by white space.
inline constexpr std::size_t prefix_block_words = 16;

// Longest prefix that is hashed; further blocks would cost memory and improve routing little.
inline constexpr std::size_t max_prefix_blocks = 256;

// Returns the hashes of the full blocks of `prompt` in order: hash i covers the model and blocks 0
// to i. A last block that is not full has no hash. Engines identify blocks in their cache events by
// the same hashes: hash64_of(word, previous) over the words, starting from hash64_of(model).
[[nodiscard]] std::vector<std::uint64_t> prefix_block_hashes(const model_id& model,
                                                             std::string_view prompt);

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_PREFIX_BLOCKS_H_
