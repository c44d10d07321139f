// Time types of the core, the part of a daemon without I/O.
//
// The core never reads a clock: every call that needs the time receives it as an argument. State
// always stores deadlines (points in time), never remaining durations.

#ifndef WISTERIAFLOW_BASE_TIME_H_
#define WISTERIAFLOW_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace wisteriaflow {

// Monotonic time of one process, used for leases, timeouts and retries. It has no meaning in other
// processes and is never sent to them.
using mono_time = std::chrono::steady_clock::time_point;

// Wall-clock time, comparable between processes within their clock skew.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// The two clocks, read at the same moment. The core receives one reading with each event.
struct clock_reading {
  mono_time mono;
  wall_time wall;

  friend bool operator==(const clock_reading&, const clock_reading&) = default;
};

// Returns milliseconds since the Unix epoch, the wire format of wall times.
constexpr std::int64_t to_unix_ms(wall_time t)
{
  return t.time_since_epoch().count();
}

// Returns the wall time `ms` milliseconds after the Unix epoch.
constexpr wall_time from_unix_ms(std::int64_t ms)
{
  return wall_time{std::chrono::milliseconds{ms}};
}

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_TIME_H_
