#include <gtest/gtest.h>

#include "relay/fleet_state.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class FleetStateTest : public testing::Test {
 protected:
  static settings settings_of(const char* id) { return {.id = daemon_id(id), .usage_window = 5s}; }

  // Passes a report of the first daemon to the second.
  void exchange_report()
  {
    const auto now = read_clocks();
    second_.merge_report(first_.report(now), now);
  }

  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state first_{settings_of("d1"), log_};
  fleet_state second_{settings_of("d2"), log_};
  const gateway::window_counts counts_{{workspace_id("hotel"), 12}};
  const gateway::window_counts other_counts_{{workspace_id("hotel"), 13}};
};

TEST_F(FleetStateTest, ANewLeaderReportsTheCountsThatTheFormerOneHasReported)
{
  first_.set_leader(true);
  EXPECT_EQ(first_.decide_usage(7, counts_), counts_);
  exchange_report();
  EXPECT_EQ(second_.decided_usage(7), counts_);
  EXPECT_EQ(second_.decide_usage(7, other_counts_), counts_);
}

TEST_F(FleetStateTest, OldDecisionsOnUsageAreForgotten)
{
  for (gateway::usage_window window = 1; window <= 10; ++window) {
    first_.decide_usage(window, counts_);
  }
  EXPECT_FALSE(first_.decided_usage(1));
  EXPECT_TRUE(first_.decided_usage(10));
}

TEST_F(FleetStateTest, FencingNumbersOfThePastTravelWithReports)
{
  first_.record_fencing_number(7);
  exchange_report();
  EXPECT_EQ(second_.last_fencing_number(), 7U);
  second_.record_fencing_number(3);
  EXPECT_EQ(second_.last_fencing_number(), 7U);
}

TEST_F(FleetStateTest, ADaemonThatIsCutOffTellsNobodyThatEndpointsAreUnreachable)
{
  const auto now = read_clocks();
  const endpoint_id id("i-1");
  first_.endpoints.apply({.id = id, .revision = 1, .service = "chat"}, now.mono);
  first_.endpoints.on_failure(id, gateway::endpoint_failure::unreachable, now.mono);
  EXPECT_EQ(first_.report(now).work.at(id).unreachable, 1U);
  for (const char* each : {"i-1", "i-2", "i-3"}) {
    first_.links.on_connect_failure(endpoint_id(each), now.mono, now.mono);
  }
  EXPECT_TRUE(first_.report(now).self.cut_off);
  EXPECT_TRUE(first_.report(now).work.empty());
}

} // namespace
} // namespace wisteriaflow::relay
