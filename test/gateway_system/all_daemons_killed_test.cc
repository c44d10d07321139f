// All daemons of a fleet end at the same moment while callers hold streams, and callers resume them
// at the daemons that start afterwards.
//
// Guards against streams joined from two versions, because a daemon that finds nothing about a
// stream takes the versions that it sees for all that there have been; and against streams that are
// refused although their version serves, because only processes that have ended knew it.

#include <string>

#include <gtest/gtest.h>

#include "gateway_system/restart_run.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

const std::vector<std::string> none;

class AllDaemonsKilledTest : public testing::Test {
 protected:
  static restart_result run(const std::string& name)
  {
    boost::asio::io_context context;
    restart_run run(context, restart_case(name).value());
    auto result = run.run();
    RecordProperty("cut", result.cut);
    RecordProperty("resumable", result.resumable);
    RecordProperty("went_on", result.went_on);
    RecordProperty("late_refusals", result.late_refusals);
    EXPECT_GT(result.cut, 0);
    return result;
  }

  static void expect_none_joined(const std::string& name)
  {
    const auto result = run(name);
    EXPECT_EQ(result.joined, 0);
    EXPECT_EQ(result.violations, none);
  }

  static void expect_streams_go_on(const std::string& name)
  {
    const auto result = run(name);
    EXPECT_EQ(result.joined, 0);
    EXPECT_EQ(result.violations, none);
    EXPECT_GT(result.resumable, 0);
    EXPECT_TRUE(result.enough_went_on()) << result.went_on << " of " << result.resumable;
  }
};

TEST_F(AllDaemonsKilledTest, StreamsOfTheOnlyVersionGoOn)
{
  expect_streams_go_on("one_version");
}

TEST_F(AllDaemonsKilledTest, StreamsGoOnWhenASecondVersionAppearedAtThatMoment)
{
  expect_streams_go_on("at_0s");
}

TEST_F(AllDaemonsKilledTest, StreamsOfTwoVersionsGoOn)
{
  expect_streams_go_on("at_2s");
}

TEST_F(AllDaemonsKilledTest, StreamsGoOnWhenItHappensAgainSoonAfterTheStart)
{
  expect_streams_go_on("two_kills");
}

TEST_F(AllDaemonsKilledTest, NoStreamIsJoinedWhenEndpointsAreReplacedWhileNoDaemonRuns)
{
  expect_none_joined("replaced_meanwhile");
}

TEST_F(AllDaemonsKilledTest, NoStreamIsJoinedWhenEndpointsReturnUnderTheirIdsAtAnotherVersion)
{
  expect_none_joined("born_again");
}

TEST_F(AllDaemonsKilledTest, NoStreamIsJoinedWhenItsVersionHasJustGone)
{
  expect_none_joined("first_just_gone");
}

TEST_F(AllDaemonsKilledTest, NoStreamIsJoinedWhenItsRouteMovesToAnotherServiceMeanwhile)
{
  expect_none_joined("route_moved");
}

TEST_F(AllDaemonsKilledTest, NorIsOneWhenItMovedJustBeforeHalfOfThemAreKilled)
{
  expect_none_joined("route_moved_before_half_killed");
}

TEST_F(AllDaemonsKilledTest, NoStreamIsJoinedWhileTheStoreTurnsWritesAway)
{
  expect_none_joined("writes_turned_away_replaced");
}

TEST_F(AllDaemonsKilledTest, NoStreamIsJoinedWhenTheStoreIsRestoredMeanwhile)
{
  expect_none_joined("restored_meanwhile_replaced");
}

} // namespace
} // namespace wisteriaflow::gateway_system_tests
