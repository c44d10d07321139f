#include "wisteriaflow/base/suspension_clock.h"

#include <utility>

namespace wisteriaflow {

suspension_clock::suspension_clock(std::function<uptime_reading()> read)
    : read_(std::move(read)), lag_at_start_(lag(read_()))
{
}

mono_time suspension_clock::now() const
{
  return mono_time(read_().since_boot - lag_at_start_);
}

std::chrono::nanoseconds suspension_clock::suspended() const
{
  return lag(read_()) - lag_at_start_;
}

std::chrono::nanoseconds suspension_clock::lag(const uptime_reading& r)
{
  return r.since_boot - r.running.time_since_epoch();
}

} // namespace wisteriaflow
