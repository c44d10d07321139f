// Monotonic clock that also advances while the instance is suspended.
//
// The clock behind mono_time stops during a suspension, so the age of a lease or of a commitment to
// other daemons appears too small afterwards. This clock adds the time that the instance spent
// suspended since the clock was constructed.
//
//   suspension_clock clock(read_uptime);
//   holder.may_issue_order(false, clock.now());

#ifndef WISTERIAFLOW_BASE_SUSPENSION_CLOCK_H_
#define WISTERIAFLOW_BASE_SUSPENSION_CLOCK_H_

#include <chrono>
#include <functional>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow {

// Both monotonic clocks of an instance, read at the same moment.
struct uptime_reading {
  mono_time monotonic;                    // stops during a suspension
  std::chrono::nanoseconds since_boot{0}; // includes suspensions
};

// Combines the two clocks that `read` returns. Not thread-safe.
class suspension_clock {
 public:
  explicit suspension_clock(std::function<uptime_reading()> read);

  // Returns the current time including suspensions. Compare it only with other times of this clock.
  [[nodiscard]] mono_time now() const;

  // Returns for how long the instance was suspended since this clock was constructed.
  [[nodiscard]] std::chrono::nanoseconds suspended_duration() const;

 private:
  [[nodiscard]] static std::chrono::nanoseconds suspended_since_boot(const uptime_reading& reading);

  std::function<uptime_reading()> read_;
  std::chrono::nanoseconds suspended_before_start_;
};

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_SUSPENSION_CLOCK_H_
