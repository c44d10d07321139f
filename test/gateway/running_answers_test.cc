#include <optional>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/running_answers.h"

namespace wisteriaflow::gateway {
namespace {

const content_id content{.hash = {.high = 1, .low = 2}};
const content_id other{.hash = {.high = 3, .low = 4}};
const endpoint_process process{.id = endpoint_id("i-1"), .incarnation = 7};

TEST(RunningAnswersTest, FindsTheRequestsWithAContent)
{
  running_answers running;
  const running_answers::entry first(running, content, {.by = process});
  const running_answers::entry second(running, content, {.by = process});
  EXPECT_EQ(running.find(content).size(), 2U);
  EXPECT_TRUE(running.find(other).empty());
}

TEST(RunningAnswersTest, ForgetsARequestThatHasEnded)
{
  running_answers running;
  {
    const running_answers::entry one(running, content, {.by = process});
  }
  EXPECT_TRUE(running.find(content).empty());
}

TEST(RunningAnswersTest, KnowsTheLatestProgress)
{
  running_answers running;
  running_answers::entry one(running, content, {.by = process});
  one.set_progress({.position = 3});
  EXPECT_EQ(running.find(content).at(0).progress.position, 3U);
}

TEST(RunningAnswersTest, MayEndBeforeItsRequests)
{
  std::optional<running_answers> running(std::in_place);
  const running_answers::entry one(*running, content, {.by = process});
  running.reset();
}

} // namespace
} // namespace wisteriaflow::gateway
