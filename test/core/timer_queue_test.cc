#include <string>

#include <gtest/gtest.h>

#include "wisteriaflow/core/timer_queue.h"

namespace wisteriaflow::core {
namespace {

using namespace std::chrono_literals;

class TimerQueueTest : public testing::Test {
 protected:
  void schedule(mono_time deadline, char name)
  {
    last_ = timers_.schedule(deadline, [this, name] { ran_ += name; });
  }

  timer_queue timers_;
  timer_number last_ = 0;
  std::string ran_;
  mono_time start_;
};

TEST_F(TimerQueueTest, RunsNothingBeforeItsDeadline)
{
  schedule(start_ + 10ms, 'a');
  timers_.run_due(start_ + 9ms);
  EXPECT_EQ(ran_, "");
}

TEST_F(TimerQueueTest, RunsInOrderOfDeadlineAndThenOfScheduling)
{
  schedule(start_ + 20ms, 'c');
  schedule(start_ + 10ms, 'a');
  schedule(start_ + 10ms, 'b');
  timers_.run_due(start_ + 20ms);
  EXPECT_EQ(ran_, "abc");
}

TEST_F(TimerQueueTest, RunsEachCallbackOnce)
{
  schedule(start_, 'a');
  timers_.run_due(start_);
  timers_.run_due(start_ + 1ms);
  EXPECT_EQ(ran_, "a");
}

TEST_F(TimerQueueTest, RunsCallbacksThatADueOneSchedulesForNow)
{
  timers_.schedule(start_, [this] { schedule(start_, 'a'); });
  timers_.run_due(start_);
  EXPECT_EQ(ran_, "a");
}

TEST_F(TimerQueueTest, DoesNotRunACancelledCallback)
{
  schedule(start_, 'a');
  timers_.cancel(last_);
  timers_.run_due(start_);
  EXPECT_EQ(ran_, "");
}

TEST_F(TimerQueueTest, IgnoresCancellingACallbackThatHasRun)
{
  schedule(start_, 'a');
  timers_.run_due(start_);
  schedule(start_ + 1ms, 'b');
  timers_.cancel(last_ - 1);
  timers_.run_due(start_ + 1ms);
  EXPECT_EQ(ran_, "ab");
}

TEST_F(TimerQueueTest, ReturnsTheNextDeadline)
{
  EXPECT_EQ(timers_.next_deadline(), std::nullopt);
  schedule(start_ + 20ms, 'b');
  schedule(start_ + 10ms, 'a');
  EXPECT_EQ(timers_.next_deadline(), start_ + 10ms);
}

} // namespace
} // namespace wisteriaflow::core
