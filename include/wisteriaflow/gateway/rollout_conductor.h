// Decides how an open order goes on, from what the fleet has counted.
//
// Any daemon that leads may stop a bad version; the one that holds the duties alone moves traffic
// over and says that an order has succeeded. On success the old version's endpoints are stopped
// without notice, so it waits until no daemon has a call there.

#ifndef WISTERIAFLOW_GATEWAY_ROLLOUT_CONDUCTOR_H_
#define WISTERIAFLOW_GATEWAY_ROLLOUT_CONDUCTOR_H_

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
#include "wisteriaflow/gateway/version_judge.h"

namespace wisteriaflow::gateway {

struct rollout_conductor_options {
  // How long the traffic takes to go over: prefixes are read again by the target little by little,
  // and badness that only load brings out shows before all is there.
  std::chrono::milliseconds ramp{2'000};
  double ramp_part = 0.1; // of an order's time, at most
  // What calls at the old endpoints are given to end, and daemons to say that they have none.
  std::chrono::milliseconds settling{7'500};
  double settling_part = 0.4;
  // Calls of the target that must have ended before all traffic moves, unless time is up.
  std::uint64_t fewest_calls = 30;
  // Part of the present endpoints' number that the target must have for all traffic.
  double fewest_endpoints = 0.7;
};

// The fleet as one daemon sees it, this one included.
struct fleet_standing {
  std::vector<daemon_id> live;
  bool some_silent = false; // daemons that may be sending and are not heard

  friend bool operator==(const fleet_standing&, const fleet_standing&) = default;
};

// Endpoints that take calls, by version.
struct version_endpoints {
  std::size_t present = 0;
  std::size_t target = 0;

  friend bool operator==(const version_endpoints&, const version_endpoints&) = default;
};

// Not thread-safe.
class rollout_conductor {
 public:
  explicit rollout_conductor(rollout_conductor_options options) : options_(options) {}

  // Takes in the fleet's counts. Call about once a second in a daemon that leads. Returns the order
  // rolled back if its target turns out to be bad.
  [[nodiscard]] std::optional<rollout> stop_if_bad(const rollout& order, const rollout_rows& rows,
                                                   const clock_reading& now);

  // For the daemon that holds the duties: the order in its next phase, if it is time.
  [[nodiscard]] std::optional<rollout> next_phase(const rollout& order, const rollout_rows& rows,
                                                  const version_endpoints& endpoints,
                                                  wall_time now) const;

  // For the same: whether nothing is left at the old endpoints, so that they may be stopped.
  [[nodiscard]] bool is_complete(const rollout& order, const rollout_rows& rows,
                                 const fleet_standing& fleet, wall_time now) const;

  // Forgets the orders that have ended.
  void retain(const rollout_book& book);

 private:
  [[nodiscard]] bool is_time_to_move(const rollout& order, wall_time now) const;
  [[nodiscard]] bool is_suspicious(const rollout& order) const;

  rollout_conductor_options options_;
  std::map<std::uint64_t, version_judge> judges_; // by order
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ROLLOUT_CONDUCTOR_H_
