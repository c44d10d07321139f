// Points in time as the pure core sees them.
//
// The core never reads a clock: every call that needs the time takes it as an argument, and what
// is stored is always a deadline (a point in time), never a duration.

#ifndef WISTERIAFLOW_BASE_TIME_H_
#define WISTERIAFLOW_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace wisteriaflow {

// Monotonic time of one process. Leases, timeouts and retries are judged by it; it never goes to
// another process.
using mono_time = std::chrono::steady_clock::time_point;

// Wall-clock time, comparable between processes within their clock skew.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// The two clocks read together, as handed to the core with each event.
struct clock_reading {
  mono_time mono;
  wall_time wall;

  friend bool operator==(const clock_reading&, const clock_reading&) = default;
};

// Milliseconds since the Unix epoch, as wall times go over the wire.
constexpr std::int64_t to_unix_ms(wall_time t)
{
  return t.time_since_epoch().count();
}

// The wall time of `ms` milliseconds after the Unix epoch.
constexpr wall_time from_unix_ms(std::int64_t ms)
{
  return wall_time{std::chrono::milliseconds{ms}};
}

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_TIME_H_
