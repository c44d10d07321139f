#include "wisteriaflow/base/suspension_clock.h"

#include <utility>

namespace wisteriaflow {

suspension_clock::suspension_clock(std::function<uptime_reading()> read)
    : read_(std::move(read)), suspended_before_start_(suspended_since_boot(read_()))
{
}

mono_time suspension_clock::now() const
{
  return mono_time(read_().since_boot - suspended_before_start_);
}

std::chrono::nanoseconds suspension_clock::suspended_duration() const
{
  return suspended_since_boot(read_()) - suspended_before_start_;
}

std::chrono::nanoseconds suspension_clock::suspended_since_boot(const uptime_reading& reading)
{
  return reading.since_boot - reading.monotonic.time_since_epoch();
}

} // namespace wisteriaflow
