#include <memory>
#include <thread>

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "relay/deadline_watch.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class DeadlineWatchTest : public testing::Test {
 protected:
  // Arms the watch with a deadline that has passed when the context next looks.
  void arm_in_the_past()
  {
    watch_->arm(std::chrono::steady_clock::now(), [this] { ++calls_; });
    std::this_thread::sleep_for(5ms);
  }

  boost::asio::io_context context_;
  std::unique_ptr<deadline_watch> watch_ = std::make_unique<deadline_watch>(context_);
  int calls_ = 0;
};

TEST_F(DeadlineWatchTest, CallsBackOnce)
{
  arm_in_the_past();
  context_.run();
  EXPECT_EQ(calls_, 1);
}

TEST_F(DeadlineWatchTest, IsSilentOnceDestroyedThoughItsTimerHasFired)
{
  arm_in_the_past();
  boost::asio::post(context_, [this] { watch_.reset(); }); // runs before the timer's handler
  context_.run();
  EXPECT_EQ(calls_, 0);
}

TEST_F(DeadlineWatchTest, IsSilentOnceDisarmedThoughItsTimerHasFired)
{
  arm_in_the_past();
  boost::asio::post(context_, [this] { watch_->disarm(); });
  context_.run();
  EXPECT_EQ(calls_, 0);
}

} // namespace
} // namespace wisteriaflow::relay
