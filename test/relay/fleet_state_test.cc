#include <gtest/gtest.h>

#include "relay/fleet_state.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class FleetStateTest : public testing::Test {
 protected:
  static settings settings_of(const char* id) { return {.id = daemon_id(id), .usage_window = 5s}; }

  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state first_{settings_of("d1"), log_};
};

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
