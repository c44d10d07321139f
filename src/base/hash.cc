#include "wisteriaflow/base/hash.h"

#include <xxhash.h>

namespace wisteriaflow {

std::uint64_t hash64_of(std::string_view text, std::uint64_t seed)
{
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

hash128 hash128_of(std::string_view text)
{
  const XXH128_hash_t h = XXH3_128bits(text.data(), text.size());
  return {.high = h.high64, .low = h.low64};
}

std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member)
{
  return hash64_of(member, key);
}

} // namespace wisteriaflow
