// How calls fared on both versions of a roll-out, counted by every daemon and joined over the
// fleet.
//
// Counts are kept by route, and those of the target by endpoint as well, so that one ill endpoint
// can be told from a bad version. They only grow, so that late and doubled reports do no harm.

#ifndef WISTERIAFLOW_GATEWAY_VERSION_COUNTS_H_
#define WISTERIAFLOW_GATEWAY_VERSION_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/gateway/usage_counts.h"

namespace wisteriaflow::gateway {

// Calls that ended, and how many of them were bad.
struct outcome_counts {
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;
  std::uint64_t slow = 0;

  outcome_counts& operator+=(const outcome_counts& other);
  friend bool operator==(const outcome_counts&, const outcome_counts&) = default;
};

// `a` less `b`, which is an earlier count of the same.
[[nodiscard]] outcome_counts since(const outcome_counts& a, const outcome_counts& b);

// Of one route.
struct route_outcomes {
  outcome_counts present; // at the version that the traffic comes from
  std::map<endpoint_id, outcome_counts> target;

  friend bool operator==(const route_outcomes&, const route_outcomes&) = default;
};

using outcomes_by_route = std::map<std::string, route_outcomes>;

// What one daemon tells of one order.
struct rollout_row {
  usage_source source;
  std::uint64_t order = 0;
  std::uint64_t sequence = 0;   // grows with each change
  bool moved = false;           // sends nothing to the present version any more
  std::uint64_t open_calls = 0; // under way at endpoints of the present version
  outcomes_by_route outcomes;

  friend bool operator==(const rollout_row&, const rollout_row&) = default;
};

// The rows of all daemons. Bounded: a target's endpoints on trial are few, and an order's rows go
// when it has ended.
//
// Not thread-safe.
class rollout_rows {
 public:
  // Joins a row: the one with the higher sequence stays.
  void absorb(const rollout_row& row);

  // Forgets what belongs to other orders than these.
  void retain(const std::vector<std::uint64_t>& orders);

  // The fleet's counts for an order.
  [[nodiscard]] outcomes_by_route total(std::uint64_t order) const;

  // The row of a daemon's latest incarnation; null if none was heard.
  [[nodiscard]] const rollout_row* find(std::uint64_t order, const daemon_id& daemon) const;

 private:
  std::map<std::uint64_t, std::map<usage_source, rollout_row>> rows_; // by order
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_COUNTS_H_
