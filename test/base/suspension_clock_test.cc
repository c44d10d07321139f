#include <gtest/gtest.h>

#include "wisteriaflow/base/suspension_clock.h"

namespace wisteriaflow {
namespace {

using namespace std::chrono_literals;

class SuspensionClockTest : public testing::Test {
 protected:
  void run_for(std::chrono::nanoseconds time)
  {
    uptime_.monotonic += time;
    uptime_.since_boot += time;
  }

  void suspend_for(std::chrono::nanoseconds time) { uptime_.since_boot += time; }

  uptime_reading uptime_{.monotonic = mono_time(100s), .since_boot = 400s};
  suspension_clock clock_{[this] { return uptime_; }};
};

TEST_F(SuspensionClockTest, StartsAtTheMonotonicClock)
{
  EXPECT_EQ(clock_.now(), mono_time(100s));
  EXPECT_EQ(clock_.suspended_duration(), 0s);
}

TEST_F(SuspensionClockTest, AdvancesWithTheMonotonicClock)
{
  run_for(3s);
  EXPECT_EQ(clock_.now(), mono_time(103s));
}

TEST_F(SuspensionClockTest, IncludesSuspendedTime)
{
  run_for(1s);
  suspend_for(5s);
  run_for(1s);
  EXPECT_EQ(clock_.now(), mono_time(107s));
  EXPECT_EQ(clock_.suspended_duration(), 5s);
}

} // namespace
} // namespace wisteriaflow
