// Readings of the stored origins that are begun for several reasons at once.

#include <chrono>
#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_store.h"
#include "relay/origin_store.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class OriginStoreTest : public testing::Test {
 protected:
  OriginStoreTest()
  {
    state_.apply_configuration_if_newer(
        {{"version", 1}, {"routes", boost::json::array()}, {"services", boost::json::array()}},
        "test");
    state_.on_daemons_listed({}, std::chrono::steady_clock::now());
    fake_.answer_delay = 100ms;
    EXPECT_TRUE(state_.configuration()); // without it nothing is read at the start
  }

  // Reads as a resumed call does.
  void start_read(std::chrono::milliseconds timeout = 5s)
  {
    ++open_reads_;
    boost::asio::co_spawn(context_, origins_.read(std::chrono::steady_clock::now() + timeout),
                          [this](const std::exception_ptr&) { --open_reads_; });
  }

  void run_for(std::chrono::milliseconds time)
  {
    context_.restart();
    context_.run_for(time);
  }

  boost::asio::io_context context_;
  fakes::fake_store fake_{context_};
  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state state_{settings{.id = daemon_id("d"), .store = fake_.address(), .usage_window = 5s},
                     log_};
  store_client client_{context_, state_};
  origin_store origins_{context_, state_, client_};
  int open_reads_ = 0;
};

// Guards against a process that ends by SIGSEGV just after its start: its first reading shared its
// completion with the one that a resumed call had begun, and the second to end found none.
TEST_F(OriginStoreTest, StartsWhileAResumedCallHasItRead)
{
  start_read();
  run_for(10ms);
  origins_.start();
  run_for(400ms);
  EXPECT_EQ(open_reads_, 0);
  EXPECT_EQ(fake_.list_calls, 1U);
}

TEST_F(OriginStoreTest, ReadsOnceForACallThatComesWhileItStarts)
{
  origins_.start();
  run_for(10ms);
  start_read();
  run_for(400ms);
  EXPECT_EQ(open_reads_, 0);
  EXPECT_EQ(fake_.list_calls, 1U);
}

TEST_F(OriginStoreTest, FinishesAReadingThatNobodyWaitsForAnyMore)
{
  start_read(10ms);
  run_for(50ms);
  EXPECT_EQ(open_reads_, 0);
  origins_.start();
  run_for(400ms);
  start_read();
  run_for(10ms);
  EXPECT_EQ(open_reads_, 0); // read just before
}

} // namespace
} // namespace wisteriaflow::relay
