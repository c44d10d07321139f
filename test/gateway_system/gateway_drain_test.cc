// Daemons as processes that receive SIGTERM while callers continue to use the connections that they
// opened before, until the processes are gone.
//
// Guards against calls that an endpoint runs and whose connection then ends without an answer,
// because the daemon accepted work that it could not finish before its process ended.

#include <gtest/gtest.h>

#include "gateway_system/drain_run.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

using std::chrono::milliseconds;

const std::vector<std::string> none;

class CallsCutByDrainTest : public testing::Test {
 protected:
  void expect_none_cut(const drain_options& options)
  {
    boost::asio::io_context context;
    drain_run run(context, options);
    const auto result = run.run();
    for (const auto& [outcome, n] : result.calls) {
      RecordProperty(to_string(outcome), n);
    }
    RecordProperty("served_elsewhere", result.served_elsewhere);
    EXPECT_EQ(result.cut, none);
    EXPECT_EQ(result.violations, none);
    for (const auto exit : result.exits) {
      EXPECT_LT(exit, gateway_fleet::drain_grace);
    }
    EXPECT_TRUE(result.all_exited_cleanly);
  }
};

TEST_F(CallsCutByDrainTest, NoUnsafeCallIsCutAtAnyMomentOfTheGrace)
{
  expect_none_cut({});
}

TEST_F(CallsCutByDrainTest, NorIsOneWhileAllEndpointsAreSilentNowAndThen)
{
  expect_none_cut({.silence = milliseconds(1'200)});
}

TEST_F(CallsCutByDrainTest, NorIsACallOfAnyKindWhileDaemonsLeaveInTurnAndTheConfigurationChanges)
{
  expect_none_cut({.leaving = 3,
                   .routes = {"safe", "unsafe", "stream", "resumable"},
                   .silence = milliseconds(1'200),
                   .configuration_period = milliseconds(600)});
}

} // namespace
} // namespace wisteriaflow::gateway_system_tests
