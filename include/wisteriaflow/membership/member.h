// One daemon or endpoint as a view knows it, and how two records of it are joined.
//
// The join is the least upper bound of three independent parts, so it is commutative, associative
// and idempotent: records may arrive late, doubled and in any order.

#ifndef WISTERIAFLOW_MEMBERSHIP_MEMBER_H_
#define WISTERIAFLOW_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::membership {

enum class member_kind : std::uint8_t { daemon, endpoint };

// Ordered: within one incarnation the later state wins.
enum class member_state : std::uint8_t { live, leaving, gone };

// Names one member among all daemons and endpoints.
struct member_key {
  member_kind kind = member_kind::daemon;
  std::string id;

  friend auto operator<=>(const member_key&,
                          const member_key&) = default; // NOLINT(modernize-use-nullptr)
};

// What changes seldom. Instances' own words come from the instance list.
struct member_attributes {
  // Where other daemons reach a daemon; empty for endpoints.
  std::string peer_address;
  // Where callers reach a daemon, or daemons an endpoint.
  std::string address;
  availability_zone zone;
  std::map<std::string, std::string> labels;
  std::string instance_class;
  // "engine", "service" or "daemon".
  std::string role;
  bool reclaimable = false;
  double price_per_hour = 0;
  // Endpoints only: refuses an order with an old fencing number.
  bool checks_fencing = false;

  friend auto operator<=>(const member_attributes&,
                          const member_attributes&) = default; // NOLINT(modernize-use-nullptr)
};

struct member {
  member_key key;
  // Raised by the member itself to overrule what is said of it. A daemon's is its start time in
  // milliseconds since the Unix epoch, at least; 0 for one known from the instance list alone.
  std::uint64_t incarnation = 0;
  member_state state = member_state::live;
  // When a leaving member's instance is reclaimed; for a gone one, when it was found gone.
  std::optional<wall_time> reclaim_at;
  // Raised by a daemon itself within one incarnation.
  std::uint64_t heartbeat = 0;
  // 0: the attributes are not known.
  std::uint64_t attributes_revision = 0;
  member_attributes attributes;

  friend bool operator==(const member&, const member&) = default;
};

// The record that knows all that `a` and `b` know. Both must have the same key.
//
// The higher (incarnation, state) wins, the earlier `reclaim_at` among equals; the higher
// (incarnation, heartbeat); the higher (attributes_revision, attributes).
[[nodiscard]] member join(const member& a, const member& b);

// `m` without its attributes: enough to say that a known member leaves.
[[nodiscard]] member without_attributes(const member& m);

// Stable hash of a member's name.
[[nodiscard]] std::uint64_t hash_of(const member_key& key);

// Stable hash of attributes.
[[nodiscard]] std::uint64_t hash_of(const member_attributes& attributes);

// Stable hash of what two views must agree on: everything but the heartbeat.
[[nodiscard]] std::uint64_t agreement_hash_of(const member& m);

// Equal but for the heartbeat.
[[nodiscard]] bool agrees(const member& a, const member& b);

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_MEMBER_H_
