// Wall-clock time that a jump of one instance's clock does not move.
//
// Each daemon tells its peers what its clock reads; the fleet's time is the median of the readings,
// carried on by the monotonic clock. It is right as long as fewer than half of the clocks are off.

#ifndef WISTERIAFLOW_GATEWAY_FLEET_CLOCK_H_
#define WISTERIAFLOW_GATEWAY_FLEET_CLOCK_H_

#include <chrono>
#include <map>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// Not thread-safe.
class fleet_clock {
 public:
  // A reading counts for this long after it was heard.
  explicit fleet_clock(std::chrono::milliseconds reading_valid) : reading_valid_(reading_valid) {}

  // A peer's clock read `wall` about now.
  void on_reading(const daemon_id& peer, wall_time wall, mono_time now);

  // The fleet's time; from this instance's clock alone if no peer was heard lately.
  [[nodiscard]] wall_time now(const clock_reading& own) const;

 private:
  struct reading {
    std::chrono::milliseconds offset{
        0}; // of the wall clock from the monotonic clock of this process
    mono_time valid_until;
  };

  std::chrono::milliseconds reading_valid_;
  std::map<daemon_id, reading> readings_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_FLEET_CLOCK_H_
