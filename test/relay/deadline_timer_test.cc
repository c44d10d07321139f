#include <memory>
#include <thread>

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "relay/deadline_timer.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class DeadlineTimerTest : public testing::Test {
 protected:
  // Arms the timer with a deadline that has passed when the context runs next.
  void arm_expired_deadline()
  {
    timer_->arm(std::chrono::steady_clock::now(), [this] { ++calls_; });
    std::this_thread::sleep_for(5ms);
  }

  boost::asio::io_context context_;
  std::unique_ptr<deadline_timer> timer_ = std::make_unique<deadline_timer>(context_);
  int calls_ = 0;
};

TEST_F(DeadlineTimerTest, CallsBackOnce)
{
  arm_expired_deadline();
  context_.run();
  EXPECT_EQ(calls_, 1);
}

TEST_F(DeadlineTimerTest, DoesNotCallBackOnceDestroyedThoughItsTimerHasFired)
{
  arm_expired_deadline();
  boost::asio::post(context_, [this] { timer_.reset(); }); // runs before the timer's handler
  context_.run();
  EXPECT_EQ(calls_, 0);
}

TEST_F(DeadlineTimerTest, DoesNotCallBackOnceDisarmedThoughItsTimerHasFired)
{
  arm_expired_deadline();
  boost::asio::post(context_, [this] { timer_->disarm(); });
  context_.run();
  EXPECT_EQ(calls_, 0);
}

} // namespace
} // namespace wisteriaflow::relay
