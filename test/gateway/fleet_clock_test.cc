#include <gtest/gtest.h>

#include "wisteriaflow/gateway/fleet_clock.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const wall_time noon{1'000'000s};

class FleetClockTest : public testing::Test {
 protected:
  void hear(const char* peer, wall_time wall) { clock_.on_reading(daemon_id(peer), wall, start); }

  fleet_clock clock_{4s};
};

TEST_F(FleetClockTest, GoesByItsOwnClockAlone)
{
  EXPECT_EQ(clock_.now({.mono = start, .wall = noon}), noon);
}

TEST_F(FleetClockTest, DoesNotFollowAJumpOfItsOwnClock)
{
  hear("a", noon);
  hear("b", noon + 2ms);
  EXPECT_EQ(clock_.now({.mono = start + 1s, .wall = noon + 1s + 1h}), noon + 1s + 2ms);
}

TEST_F(FleetClockTest, DoesNotFollowAJumpOfAPeersClock)
{
  hear("a", noon - 1h);
  hear("b", noon);
  EXPECT_EQ(clock_.now({.mono = start, .wall = noon + 3ms}), noon);
}

TEST_F(FleetClockTest, ForgetsOldReadings)
{
  hear("a", noon + 1h);
  hear("b", noon + 1h);
  EXPECT_EQ(clock_.now({.mono = start + 5s, .wall = noon}), noon);
}

} // namespace
} // namespace wisteriaflow::gateway
