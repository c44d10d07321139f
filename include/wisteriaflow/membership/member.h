// The record of one daemon or endpoint, and how two records of the same member are merged.
//
// `join` is the least upper bound of three independent parts, so it is commutative, associative and
// idempotent: records may arrive late, more than once and in any order.

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

// A member is live, then leaving until its instance is reclaimed, then gone. Within one incarnation
// the later state wins.
enum class member_state : std::uint8_t { live, leaving, gone };

// Identifies one member among all daemons and endpoints.
struct member_key {
  member_kind kind = member_kind::daemon;
  std::string id;

  friend auto operator<=>(const member_key&,
                          const member_key&) = default; // NOLINT(modernize-use-nullptr)
};

// The part of a record that seldom changes. An endpoint's attributes come from the instance list, a
// daemon's from the daemon itself.
struct member_attributes {
  // Address for other daemons; empty for endpoints.
  std::string peer_address;
  // Address of a daemon for callers, or of an endpoint for daemons.
  std::string address;
  availability_zone zone;
  std::map<std::string, std::string> labels;
  std::string instance_class;
  // "engine", "service" or "daemon".
  std::string role;
  bool reclaimable = false;
  double price_per_hour = 0;
  // Endpoints only: it rejects orders with an old fencing number.
  bool checks_fencing = false;

  friend auto operator<=>(const member_attributes&,
                          const member_attributes&) = default; // NOLINT(modernize-use-nullptr)
};

struct member {
  member_key key;
  // Raised by the member itself to override what others report of it. A daemon's incarnation is at
  // least its start time in milliseconds since the Unix epoch; 0 for a member known only from the
  // instance list.
  std::uint64_t incarnation = 0;
  member_state state = member_state::live;
  // For a leaving member, when its instance is reclaimed; for a gone one, when it was found to be
  // gone.
  std::optional<wall_time> reclaim_at;
  // Counter that the daemon itself raises within one incarnation.
  std::uint64_t heartbeat = 0;
  // 0 if the attributes are not known.
  std::uint64_t attributes_revision = 0;
  member_attributes attributes;

  friend bool operator==(const member&, const member&) = default;
};

// Returns the record that contains everything known from `a` and `b`, which must have the same key.
//
// The higher (incarnation, state) wins, and among equals the earlier `reclaim_at`; the higher
// (incarnation, heartbeat) wins; the higher (attributes_revision, attributes) wins.
[[nodiscard]] member join(const member& a, const member& b);

// Returns `m` without its attributes: enough to report that a known member is leaving.
[[nodiscard]] member without_attributes(const member& m);

// Stable hash of a member's kind and id.
[[nodiscard]] std::uint64_t hash_of(const member_key& key);

// Stable hash of the attributes.
[[nodiscard]] std::uint64_t hash_of(const member_attributes& attributes);

// Stable hash of everything that two views must agree on: all of the record except the heartbeat.
[[nodiscard]] std::uint64_t hash_without_heartbeat(const member& m);

// Whether the records are equal except for the heartbeat.
[[nodiscard]] bool equal_without_heartbeat(const member& a, const member& b);

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_MEMBER_H_
