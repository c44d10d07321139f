// Monotonic time that goes on while the instance is suspended.
//
// The clock behind mono_time stands still meanwhile: what it says of a lease or of a promise to
// others is then too young. This clock adds the time that was lost since it was made.
//
//   suspension_clock clock(read_uptime);
//   holder.may_order(false, clock.now());

#ifndef WISTERIAFLOW_BASE_SUSPENSION_CLOCK_H_
#define WISTERIAFLOW_BASE_SUSPENSION_CLOCK_H_

#include <chrono>
#include <functional>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow {

// Both monotonic clocks of an instance, read together.
struct uptime_reading {
  mono_time running;                      // stands still during a suspension
  std::chrono::nanoseconds since_boot{0}; // does not
};

// Not thread-safe.
class suspension_clock {
 public:
  explicit suspension_clock(std::function<uptime_reading()> read);

  // Now, in mono_time that counts suspensions. Compare it only with times of this clock.
  [[nodiscard]] mono_time now() const;

  // Time for which the instance was suspended since this clock was made.
  [[nodiscard]] std::chrono::nanoseconds suspended() const;

 private:
  [[nodiscard]] static std::chrono::nanoseconds lag(const uptime_reading& r);

  std::function<uptime_reading()> read_;
  std::chrono::nanoseconds lag_at_start_;
};

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_SUSPENSION_CLOCK_H_
