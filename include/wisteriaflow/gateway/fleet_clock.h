// Wall-clock time that is not affected when the clock of one instance jumps.
//
// Each daemon reports its clock to its peers. The fleet's time is the median of these readings,
// advanced by the monotonic clock. It is correct as long as fewer than half of the clocks are
// wrong.

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
  // A reading is used for `reading_ttl` after it was received.
  explicit fleet_clock(std::chrono::milliseconds reading_ttl) : reading_ttl_(reading_ttl) {}

  // Records that the clock of `peer` read `wall` at about `now`.
  void on_reading(const daemon_id& peer, wall_time wall, mono_time now);

  // Returns the fleet's time. Without a recent reading of a peer this is the time of this
  // instance's own clock.
  [[nodiscard]] wall_time now(const clock_reading& own) const;

 private:
  struct reading {
    std::chrono::milliseconds offset{0}; // wall clock minus the monotonic clock of this process
    mono_time valid_until;
  };

  std::chrono::milliseconds reading_ttl_;
  std::map<daemon_id, reading> readings_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_FLEET_CLOCK_H_
