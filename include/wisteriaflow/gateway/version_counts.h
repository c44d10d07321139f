// Outcomes of calls on both versions of a rollout, counted by every daemon and merged over the
// fleet.
//
// Counts are kept by route, and those of the target also by endpoint, so that one faulty endpoint
// can be distinguished from a bad version. Counts only grow, so late and duplicate reports do no
// harm.

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

// Calls that ended, and how many of them failed or were slow.
struct outcome_counts {
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;
  std::uint64_t slow = 0;

  outcome_counts& operator+=(const outcome_counts& other);
  friend bool operator==(const outcome_counts&, const outcome_counts&) = default;
};

// Returns `a` minus the earlier counts `b`.
[[nodiscard]] outcome_counts counts_since(const outcome_counts& a, const outcome_counts& b);

// Outcomes of one route.
struct route_outcomes {
  outcome_counts baseline; // at the version that the traffic moves away from
  std::map<endpoint_id, outcome_counts> target;

  friend bool operator==(const route_outcomes&, const route_outcomes&) = default;
};

using outcomes_by_route = std::map<std::string, route_outcomes>;

// The counts of one daemon for one order.
struct rollout_row {
  usage_source source;
  std::uint64_t order = 0;
  std::uint64_t sequence = 0;   // increases with each change
  bool moved = false;           // sends nothing to the baseline version any more
  std::uint64_t open_calls = 0; // running at endpoints of the baseline version
  outcomes_by_route outcomes;

  friend bool operator==(const rollout_row&, const rollout_row&) = default;
};

// The rows of all daemons. The size is bounded: a target has few endpoints on trial, and the rows
// of an order are dropped when it has ended.
//
// Not thread-safe.
class rollout_rows {
 public:
  // Merges a row: the one with the higher sequence stays.
  void merge(const rollout_row& row);

  // Drops the rows of all orders other than these.
  void retain(const std::vector<std::uint64_t>& orders);

  // Sums the counts of the fleet for an order.
  [[nodiscard]] outcomes_by_route total(std::uint64_t order) const;

  // Returns the row of the daemon's latest incarnation, or null if there is none.
  [[nodiscard]] const rollout_row* find(std::uint64_t order, const daemon_id& daemon) const;

 private:
  std::map<std::uint64_t, std::map<usage_source, rollout_row>> rows_; // by order id
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_COUNTS_H_
