#include <gtest/gtest.h>

#include "wisteriaflow/gateway/fleet_clock.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const wall_time noon{1'000'000s};

class FleetClockTest : public testing::Test {
 protected:
  void read_peer(const char* peer, wall_time wall)
  {
    clock_.on_reading(daemon_id(peer), wall, start);
  }

  fleet_clock clock_{4s};
};

TEST_F(FleetClockTest, UsesItsOwnClockWithoutPeers)
{
  EXPECT_EQ(clock_.now({.mono = start, .wall = noon}), noon);
}

TEST_F(FleetClockTest, DoesNotFollowAJumpOfItsOwnClock)
{
  read_peer("a", noon);
  read_peer("b", noon + 2ms);
  EXPECT_EQ(clock_.now({.mono = start + 1s, .wall = noon + 1s + 1h}), noon + 1s + 2ms);
}

TEST_F(FleetClockTest, DoesNotFollowAJumpOfAPeersClock)
{
  read_peer("a", noon - 1h);
  read_peer("b", noon);
  EXPECT_EQ(clock_.now({.mono = start, .wall = noon + 3ms}), noon);
}

TEST_F(FleetClockTest, ForgetsOldReadings)
{
  read_peer("a", noon + 1h);
  read_peer("b", noon + 1h);
  EXPECT_EQ(clock_.now({.mono = start + 5s, .wall = noon}), noon);
}

} // namespace
} // namespace wisteriaflow::gateway
