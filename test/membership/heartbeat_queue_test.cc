#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/internal/heartbeat_queue.h"

namespace wisteriaflow::membership::internal {
namespace {

TEST(HeartbeatQueueTest, SendsEachHeartbeatAsOftenAsConfigured)
{
  heartbeat_queue queue({.max_sends = 2});
  queue.add({.hash = 7, .counter = 3}, at(0).mono);
  EXPECT_EQ(queue.take(at(1).mono).size(), 1U);
  EXPECT_EQ(queue.take(at(2).mono).size(), 1U);
  EXPECT_TRUE(queue.take(at(3).mono).empty());
}

TEST(HeartbeatQueueTest, SendsTheLeastSentHeartbeatsFirst)
{
  heartbeat_queue queue({.max_heartbeats = 1, .max_sends = 4});
  queue.add({.hash = 7, .counter = 3}, at(0).mono);
  queue.take(at(1).mono);
  queue.add({.hash = 8, .counter = 3}, at(1).mono);
  const auto beats = queue.take(at(2).mono);
  ASSERT_EQ(beats.size(), 1U);
  EXPECT_EQ(beats[0].hash, 8U);
}

TEST(HeartbeatQueueTest, DropsHeartbeatsPastTheirMaximumAge)
{
  heartbeat_queue queue({});
  queue.add({.hash = 7, .counter = 3}, at(0).mono);
  EXPECT_TRUE(queue.take(at(5000).mono).empty());
}

} // namespace
} // namespace wisteriaflow::membership::internal
