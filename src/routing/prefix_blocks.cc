#include "wisteriaflow/routing/prefix_blocks.h"

#include "wisteriaflow/base/hash.h"

#include <algorithm>

namespace wisteriaflow::routing {

std::vector<std::uint64_t> prefix_block_hashes(const model_id& model, std::string_view prompt)
{
  const std::size_t n = std::min(prompt.size() / prefix_block_bytes, max_prefix_blocks);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(n);
  std::uint64_t previous = hash64_of(model.value());
  for (std::size_t i = 0; i < n; ++i) {
    previous = hash64_of(prompt.substr(i * prefix_block_bytes, prefix_block_bytes), previous);
    hashes.push_back(previous);
  }
  return hashes;
}

} // namespace wisteriaflow::routing
