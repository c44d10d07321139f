// Decides when an open rollout advances or is rolled back, from the counts of the whole fleet.
//
// Any coordinator may roll back a bad version. Only the leader, which holds the fleet lease, moves
// traffic and declares an order successful. On success the endpoints of the old version are stopped
// without notice, so this waits until no daemon has a call there.

#ifndef WISTERIAFLOW_GATEWAY_ROLLOUT_CONTROLLER_H_
#define WISTERIAFLOW_GATEWAY_ROLLOUT_CONTROLLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/version_counts.h"
#include "wisteriaflow/gateway/version_evaluator.h"

namespace wisteriaflow::gateway {

struct rollout_controller_options {
  // Duration of the move. It is gradual because the target has to compute prompt prefixes again
  // that the old endpoints had cached, and because a defect that only shows under load appears
  // before all traffic has moved.
  std::chrono::milliseconds ramp_time{2'000};
  double max_ramp_fraction = 0.1; // upper limit, as a fraction of the order's time
  // Time for calls at the old endpoints to end and for daemons to report that they have none.
  std::chrono::milliseconds settling_time{7'500};
  double max_settling_fraction = 0.4; // upper limit, as a fraction of the order's time
  // Calls that must have ended at the target before all traffic moves, unless the deadline has
  // passed.
  std::uint64_t min_target_calls = 30;
  // Minimum number of target endpoints for all traffic, as a fraction of the baseline's endpoints.
  double min_endpoint_ratio = 0.7;
};

// The fleet as seen by one daemon, this daemon included.
struct fleet_status {
  std::vector<daemon_id> live;
  bool has_silent_daemons = false; // daemons that may be sending but are not live

  friend bool operator==(const fleet_status&, const fleet_status&) = default;
};

// Number of endpoints that accept calls, by version.
struct version_endpoint_counts {
  std::size_t baseline = 0;
  std::size_t target = 0;

  friend bool operator==(const version_endpoint_counts&, const version_endpoint_counts&) = default;
};

// Not thread-safe.
class rollout_controller {
 public:
  explicit rollout_controller(rollout_controller_options options) : options_(options) {}

  // Adds the fleet's counts. Call about once per second in a coordinator. Returns the order as
  // rolled back if its target is found to be bad.
  [[nodiscard]] std::optional<rollout>
  roll_back_if_bad(const rollout& order, const rollout_rows& rows, const clock_reading& now);

  // For the leader: returns the order in its next phase if it is time to advance.
  [[nodiscard]] std::optional<rollout> next_phase(const rollout& order, const rollout_rows& rows,
                                                  const version_endpoint_counts& endpoints,
                                                  wall_time now) const;

  // For the leader: whether the old endpoints have no calls left, so that they may be stopped.
  [[nodiscard]] bool is_complete(const rollout& order, const rollout_rows& rows,
                                 const fleet_status& fleet, wall_time now) const;

  // Drops the state of orders that are no longer open.
  void retain(const rollout_registry& registry);

 private:
  [[nodiscard]] bool is_time_to_move(const rollout& order, wall_time now) const;
  [[nodiscard]] bool is_suspicious(const rollout& order) const;

  rollout_controller_options options_;
  std::map<std::uint64_t, version_evaluator> evaluators_; // by order id
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ROLLOUT_CONTROLLER_H_
