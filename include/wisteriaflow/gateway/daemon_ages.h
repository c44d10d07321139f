// When each daemon of the fleet was last seen, in a form that is small enough for every report.
//
// Daemons are divided into parts by a hash of their ids. Of each part a digest states a hash of the
// ids that the sender knows, and one character per daemon in ascending order of the ids. A receiver
// that knows the same daemons of a part needs no ids to read its ages. If the hashes differ, one
// side lacks a daemon, and the part is skipped until both know the same.
//
//   daemon_roster<entry> roster;
//   roster.add(id, &entry_of_id);
//   const auto part = roster.part_of(id);

#ifndef WISTERIAFLOW_GATEWAY_DAEMON_AGES_H_
#define WISTERIAFLOW_GATEWAY_DAEMON_AGES_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

// Number of parts. It is the same in all daemons, because they compare the hashes of parts.
inline constexpr std::size_t age_parts = 64;

// The ages of the daemons of one part.
struct age_part {
  std::size_t index = 0;     // below age_parts
  std::uint32_t members = 0; // hash of the ids of its daemons, 24 bits
  std::string ages;          // one character per daemon; see encode_age

  friend bool operator==(const age_part&, const age_part&) = default;
};

// Returns the character for an age. Ages are rounded up: if they were rounded down, a daemon that
// has stopped would seem to be younger with each daemon that passes its age on.
[[nodiscard]] char encode_age(std::chrono::milliseconds age);

// Returns the age, or nothing for one that is too high to matter. Throws std::invalid_argument for
// a character that encode_age does not return.
[[nodiscard]] std::optional<std::chrono::milliseconds> decode_age(char c);

// One word per part, for a report.
[[nodiscard]] std::string encode_age_part(const age_part& part);
// Throws std::invalid_argument.
[[nodiscard]] age_part decode_age_part(std::string_view text);

// The known daemons by part, each with a pointer to what is known of it.
template <typename entry> class daemon_roster {
 public:
  struct member {
    daemon_id id;
    entry* known = nullptr; // null: the daemon that keeps the roster
  };

  struct part {
    std::uint32_t hash = 0;      // of the ids
    std::vector<member> members; // in ascending order of the ids
  };

  // The id must not have been added before.
  void add(const daemon_id& id, entry* known)
  {
    auto& p = parts_[part_of(id)];
    const auto at = std::lower_bound(p.members.begin(), p.members.end(), id,
                                     [](const member& m, const daemon_id& i) { return m.id < i; });
    p.members.insert(at, {.id = id, .known = known});
    p.hash ^= static_cast<std::uint32_t>(hash64_of(id.value(), member_seed)) & hash_mask;
  }

  [[nodiscard]] static std::size_t part_of(const daemon_id& id)
  {
    return hash64_of(id.value()) % age_parts;
  }

  [[nodiscard]] const std::array<part, age_parts>& parts() const { return parts_; }

 private:
  static constexpr std::uint64_t member_seed = 1; // independent of the choice of the part
  static constexpr std::uint32_t hash_mask = 0xFF'FFFF;

  std::array<part, age_parts> parts_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_DAEMON_AGES_H_
