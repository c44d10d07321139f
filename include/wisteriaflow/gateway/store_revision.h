// A position in the history of the platform's store.
//
// The store may be restored from an older copy. It then counts another era, and gives out numbers
// again that it had given out before: only era and number together order what was read.
//
//   if (received.revision > known.revision) { ... `received` is newer ... }

#ifndef WISTERIAFLOW_GATEWAY_STORE_REVISION_H_
#define WISTERIAFLOW_GATEWAY_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace wisteriaflow::gateway {

struct store_revision {
  std::uint64_t era = 0; // number of restores; 0: the store states none
  std::uint64_t number = 0;

  constexpr store_revision() = default;
  // A plain number is a revision of a store that states no era.
  constexpr store_revision(std::uint64_t n) : number(n) {} // NOLINT(google-explicit-constructor)
  constexpr store_revision(std::uint64_t e, std::uint64_t n) : era(e), number(n) {}

  // The revision before this one.
  [[nodiscard]] constexpr store_revision before() const
  {
    return {era, number > 0 ? number - 1 : 0};
  }

  // One number in the same order, for peers and for consumers that compare revisions by equality.
  // Eras beyond 2^16 and numbers beyond 2^48 are not supported.
  [[nodiscard]] constexpr std::uint64_t packed() const { return era << number_bits | number; }
  [[nodiscard]] static constexpr store_revision from_packed(std::uint64_t value)
  {
    return {value >> number_bits, value & ((std::uint64_t{1} << number_bits) - 1)};
  }

  friend constexpr auto
  operator<=>(const store_revision&,
              const store_revision&) = default; // NOLINT(modernize-use-nullptr)

 private:
  static constexpr unsigned number_bits = 48;
};

// Formats the era and the number as "2.83", or the number alone without an era.
[[nodiscard]] inline std::string to_string(const store_revision& r)
{
  const auto number = std::to_string(r.number);
  return r.era == 0 ? number : std::to_string(r.era) + "." + number;
}

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_STORE_REVISION_H_
