// The fleet of gateway daemons as seen by one daemon: the input for dividing rates and quotas among
// the daemons.

#ifndef WISTERIAFLOW_GATEWAY_FLEET_VIEW_H_
#define WISTERIAFLOW_GATEWAY_FLEET_VIEW_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

struct fleet_view {
  // Daemons that do not drain and may own a share, without this one.
  std::vector<daemon_id> candidates;
  std::vector<daemon_id> draining; // live daemons that drain, without this one
  // Known daemons that may still send requests, live or not, without this one.
  std::vector<daemon_id> running;
  std::size_t live_count = 1;    // live daemons including this one and draining ones
  std::size_t running_count = 1; // daemons that may still admit requests, live or not
  bool leaving = false;          // this daemon is draining

  // The fraction of a fleet-wide limit that the daemons on this side of a network partition may use
  // together. It keeps the sum over both sides of a partition within the limit.
  [[nodiscard]] double live_fraction() const
  {
    const auto all = static_cast<double>(std::max(live_count, running_count));
    return static_cast<double>(live_count) / all;
  }

  friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_FLEET_VIEW_H_
