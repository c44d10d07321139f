// Divides the daemons of a large fleet into groups, each with a few relays.
//
// What hundreds of daemons send to the leader, or learn from the coordinators, goes through the
// relays: a daemon speaks to the relays of its group, and these pass it on. Every daemon computes
// the groups from the live daemons that it knows, so two daemons may briefly disagree.
//
//   const fleet_groups groups({}, ids);
//   if (!groups.empty()) { ... groups.relays_of(self) ... }

#ifndef WISTERIAFLOW_GATEWAY_FLEET_GROUPS_H_
#define WISTERIAFLOW_GATEWAY_FLEET_GROUPS_H_

#include <cstddef>
#include <vector>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

struct fleet_groups_options {
  // A fleet of up to this many daemons has no groups: one daemon can process the reports of all
  // others every 0.8 s beside its other work.
  std::size_t max_direct_daemons = 100;
  std::size_t group_size = 32; // daemons per group, at most twice as many
  std::size_t relays_per_group = 2;
};

// Immutable.
class fleet_groups {
 public:
  fleet_groups() = default;
  // `daemons` are those that do not drain, the computing one included.
  fleet_groups(fleet_groups_options options, const std::vector<daemon_id>& daemons);

  // Whether the fleet is small enough to do without groups.
  [[nodiscard]] bool empty() const { return relays_.empty(); }

  // Number of relays of all groups.
  [[nodiscard]] std::size_t relay_count() const
  {
    return options_.relays_per_group * relays_.size();
  }
  // Maximum number of daemons of a group.
  [[nodiscard]] std::size_t group_size() const { return 2 * options_.group_size; }

  // Whether the daemon is a relay of any group.
  [[nodiscard]] bool is_relay(const daemon_id& id) const;

  // Returns the relays of the daemon's group, the first one first.
  [[nodiscard]] const std::vector<daemon_id>& relays_of(const daemon_id& member) const;

 private:
  fleet_groups_options options_;
  std::vector<std::vector<daemon_id>> relays_; // by group
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_FLEET_GROUPS_H_
