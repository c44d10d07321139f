// The highest demand of a recent time: capacity follows demand up at once and down late, so that a
// short lull releases nothing that is needed again a moment later.

#ifndef WISTERIAFLOW_CAPACITY_DEMAND_WINDOW_H_
#define WISTERIAFLOW_CAPACITY_DEMAND_WINDOW_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

// Keeps at most `slots` maxima, each of an equal part of the window.
class demand_window {
 public:
  explicit demand_window(std::chrono::milliseconds length) : part_(length / slots) {}

  // Adds a measurement and returns the highest of the window, rate by rate.
  pool_demand add(const pool_demand& measured, mono_time now);

 private:
  static constexpr int slots = 20;

  struct slot {
    pool_demand highest;
    mono_time ends;
    mono_time forgotten_at;
  };

  std::chrono::milliseconds part_;
  std::deque<slot> slots_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_DEMAND_WINDOW_H_
