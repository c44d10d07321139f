#include <gtest/gtest.h>

#include "wisteriaflow/gateway/drain_schedule.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

class DrainScheduleTest : public testing::Test {
 protected:
  static constexpr auto grace = 8s;
  static constexpr auto caller_memory = 3s;
  mono_time began_at_{100s};
  drain_schedule drain_ = make_drain_schedule(began_at_, grace, caller_memory);
};

TEST_F(DrainScheduleTest, AnswersAreDueBeforeTheProcessEndsAndThatBeforeItIsKilled)
{
  EXPECT_LT(drain_.callers_gone_at, drain_.answers_due_at);
  EXPECT_LT(drain_.answers_due_at, drain_.process_ends_at);
  EXPECT_LT(drain_.process_ends_at, began_at_ + grace);
}

TEST_F(DrainScheduleTest, AcceptsACallAsLongAsItsDeadlineLiesBeforeAnswersAreDue)
{
  const auto last = drain_.answers_due_at - 1500ms;
  EXPECT_TRUE(drain_.can_finish(last, last + 1500ms));
  EXPECT_FALSE(drain_.can_finish(last + 1ms, last + 1501ms));
}

TEST_F(DrainScheduleTest, AcceptsCallsOfAnyLengthOnlyWhileMostOfTheGraceIsLeft)
{
  EXPECT_TRUE(drain_.can_finish(began_at_, began_at_ + 15s));
  EXPECT_FALSE(drain_.can_finish(drain_.long_calls_until, drain_.long_calls_until + 15s));
  EXPECT_GT(drain_.answers_due_at - drain_.long_calls_until, grace / 2);
}

TEST_F(DrainScheduleTest, EndsEarlyOnlyOnceCallersHadTimeToLeave)
{
  EXPECT_FALSE(drain_.may_end_early(began_at_ + 2900ms, began_at_));
  EXPECT_TRUE(drain_.may_end_early(began_at_ + 3s, began_at_));
}

TEST_F(DrainScheduleTest, DoesNotEndEarlyWhileCallersStillUseTheDaemon)
{
  EXPECT_FALSE(drain_.may_end_early(began_at_ + 5s, began_at_ + 4500ms));
  EXPECT_TRUE(drain_.may_end_early(began_at_ + 5500ms, began_at_ + 4500ms));
}

TEST_F(DrainScheduleTest, AShortGraceStillHasTimesInOrder)
{
  const auto drain = make_drain_schedule(began_at_, 1s, caller_memory);
  EXPECT_LE(drain.began_at, drain.answers_due_at);
  EXPECT_LE(drain.callers_gone_at, drain.answers_due_at);
  EXPECT_LT(drain.answers_due_at, drain.process_ends_at);
  EXPECT_LT(drain.process_ends_at, began_at_ + 1s);
  EXPECT_FALSE(drain.can_finish(began_at_ + 400ms, began_at_ + 1400ms));
}

} // namespace
} // namespace wisteriaflow::gateway
