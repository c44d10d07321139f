// Stable hashes (xxHash). The values are the same in every process and version, so they may be
// stored and may determine which daemon owns a key.

#ifndef WISTERIAFLOW_BASE_HASH_H_
#define WISTERIAFLOW_BASE_HASH_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace wisteriaflow {

// A 128-bit hash, for keys where a collision would treat two requests as one.
struct hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const hash128&,
                          const hash128&) = default; // NOLINT(modernize-use-nullptr)
};

// Returns the 64-bit hash of `text`; each `seed` gives a different hash function.
[[nodiscard]] std::uint64_t hash64_of(std::string_view text, std::uint64_t seed = 0);

// Returns the 128-bit hash of `text`.
[[nodiscard]] hash128 hash128_of(std::string_view text);

// Returns the rendezvous (highest random weight) score of `member` for `key`. The member with the
// highest score owns the key, so the removal of a member moves only the keys of that member.
[[nodiscard]] std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member);

// Returns how many of `others` have a higher score than `self` for `key`; 0 means that `self` owns
// the key.
template <typename ids, typename id>
[[nodiscard]] std::size_t rendezvous_rank(std::uint64_t key, const id& self, const ids& others)
{
  const auto own = rendezvous_score(key, self.value());
  const auto before = [&](const id& other) { return rendezvous_score(key, other.value()) > own; };
  return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), before));
}

} // namespace wisteriaflow

template <> struct std::hash<wisteriaflow::hash128> {
  std::size_t operator()(const wisteriaflow::hash128& h) const noexcept { return h.low; }
};

#endif // WISTERIAFLOW_BASE_HASH_H_
