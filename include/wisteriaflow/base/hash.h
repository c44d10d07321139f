// Stable hashes (xxHash). The values are the same in every process and version, so they may decide
// ownership and be stored.

#ifndef WISTERIAFLOW_BASE_HASH_H_
#define WISTERIAFLOW_BASE_HASH_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace wisteriaflow {

// A 128-bit hash. Used where a collision would merge two requests.
struct hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const hash128&,
                          const hash128&) = default; // NOLINT(modernize-use-nullptr)
};

// Hash of `text`, different for each `seed`.
[[nodiscard]] std::uint64_t hash64_of(std::string_view text, std::uint64_t seed = 0);

// 128-bit hash of `text`.
[[nodiscard]] hash128 hash128_of(std::string_view text);

// Rendezvous (highest random weight) score of `member` for `key`: the member with the highest
// score owns the key, and losing a member moves only that member's keys.
[[nodiscard]] std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member);

// How many of `others` own `key` before `self` does.
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
