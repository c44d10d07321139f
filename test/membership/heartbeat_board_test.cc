#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/internal/heartbeat_board.h"

namespace wisteriaflow::membership::internal {
namespace {

TEST(HeartbeatBoardTest, SendsEachOnAsOftenAsAsked)
{
  heartbeat_board board({.sends = 2});
  board.add({.hash = 7, .counter = 3}, at(0).mono);
  EXPECT_EQ(board.take(at(1).mono).size(), 1U);
  EXPECT_EQ(board.take(at(2).mono).size(), 1U);
  EXPECT_TRUE(board.take(at(3).mono).empty());
}

TEST(HeartbeatBoardTest, SendsThoseFirstThatWereSentLeast)
{
  heartbeat_board board({.max_heartbeats = 1, .sends = 4});
  board.add({.hash = 7, .counter = 3}, at(0).mono);
  board.take(at(1).mono);
  board.add({.hash = 8, .counter = 3}, at(1).mono);
  const auto beats = board.take(at(2).mono);
  ASSERT_EQ(beats.size(), 1U);
  EXPECT_EQ(beats[0].hash, 8U);
}

TEST(HeartbeatBoardTest, DropsWhatHasWaitedTooLong)
{
  heartbeat_board board({});
  board.add({.hash = 7, .counter = 3}, at(0).mono);
  EXPECT_TRUE(board.take(at(5000).mono).empty());
}

} // namespace
} // namespace wisteriaflow::membership::internal
