// The peak demand of a sliding time window. Capacity follows an increase of demand at once and a
// decrease only after the window, so that a short lull does not release instances that are needed
// again soon after.

#ifndef WISTERIAFLOW_CAPACITY_DEMAND_WINDOW_H_
#define WISTERIAFLOW_CAPACITY_DEMAND_WINDOW_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

// Keeps the maxima of at most `slots` equal parts of the window.
class demand_window {
 public:
  explicit demand_window(std::chrono::milliseconds length) : slot_length_(length / slots) {}

  // Adds a measurement and returns the maximum of each rate over the window.
  pool_demand add(const pool_demand& measured, mono_time now);

 private:
  static constexpr int slots = 20;

  struct slot {
    pool_demand peak;
    mono_time ends_at;
    mono_time expires_at;
  };

  std::chrono::milliseconds slot_length_;
  std::deque<slot> slots_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_DEMAND_WINDOW_H_
