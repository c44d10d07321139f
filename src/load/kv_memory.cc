#include "wisteriaflow/load/kv_memory.h"

#include <algorithm>

namespace wisteriaflow::load {

call_size bounded_size(const call_size& stated, std::uint64_t capacity)
{
  const auto limit = capacity == 0 ? max_call_tokens : std::min(capacity, max_call_tokens);
  const auto prompt = std::min(stated.prompt, limit);
  return {.prompt = prompt, .output = std::min(stated.output, limit - prompt)};
}

} // namespace wisteriaflow::load
