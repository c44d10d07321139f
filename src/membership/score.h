// Rendezvous scores for many pairs of members: the names are hashed once, and each pair's score is
// computed from the two hashes.

#ifndef WISTERIAFLOW_SRC_MEMBERSHIP_SCORE_H_
#define WISTERIAFLOW_SRC_MEMBERSHIP_SCORE_H_

#include <cstdint>

namespace wisteriaflow::membership::internal {

// The SplitMix64 finalizer over both hashes. Flipping any input bit changes about half of the
// result's bits.
constexpr std::uint64_t pair_score(std::uint64_t a, std::uint64_t b)
{
  std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

} // namespace wisteriaflow::membership::internal

#endif // WISTERIAFLOW_SRC_MEMBERSHIP_SCORE_H_
