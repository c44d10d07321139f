#include <gtest/gtest.h>

#include "wisteriaflow/gateway/rollout_codec.h"
#include "wisteriaflow/gateway/version_traffic.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;
using side = version_lane::side;

const wall_time start{1'000s};

class VersionTrafficTest : public testing::Test {
 protected:
  void order(rollout_phase phase = rollout_phase::trial)
  {
    rollout r{.service = "chat",
              .order = 77,
              .revision = 5,
              .target = "v2",
              .ordered_at = start,
              .deadline = start + 20s,
              .phase = phase,
              .moves_from = start + 10s,
              .moved_by = start + 12s};
    book_.note(r);
    traffic_.follow(book_);
  }

  version_lane lane_of(const std::string& route, wall_time now = start, std::uint64_t key = 1)
  {
    return traffic_.lane_of({.service = "chat", .route = route, .key = key}, false, now);
  }

  // A call that goes where it may. True if that is the target.
  bool send(const std::string& route)
  {
    const bool to_target = lane_of(route).at == side::trial;
    traffic_.on_sent(call(route, to_target ? "v2" : "v1"));
    return to_target;
  }

  static placed_call call(const std::string& route, const std::string& version)
  {
    return {.service = "chat", .route = route, .version = version, .endpoint = endpoint_id("e1")};
  }

  rollout_book book_;
  version_traffic traffic_{{.source = {.daemon = daemon_id("d"), .incarnation = 1}}};
};

TEST_F(VersionTrafficTest, WithoutAnOrderAllEndpointsTakeCalls)
{
  EXPECT_EQ(lane_of("r").at, side::any);
}

TEST_F(VersionTrafficTest, ATargetOnTrialGetsItsPartOfEachRouteAndNoMore)
{
  order();
  int to_target = 0;
  for (int i = 1; i <= 1'000; ++i) {
    to_target += send("r") ? 1 : 0;
    EXPECT_LE(to_target, 0.08 * i);
  }
  EXPECT_EQ(to_target, 80);
  EXPECT_FALSE(send("rare"));
}

TEST_F(VersionTrafficTest, AllRoutesTogetherStayWithinThePartAndWhatIsBeyond)
{
  order();
  traffic_.set_beyond_part(4);
  int to_target = 0;
  for (int i = 0; i < 100; ++i) {
    for (const auto* route : {"a", "b", "c", "d", "e"}) {
      to_target += send(route) ? 1 : 0;
    }
  }
  EXPECT_LE(to_target, 0.08 * 500 + 4);
  EXPECT_GE(to_target, 0.08 * 500);
}

TEST_F(VersionTrafficTest, ACallThatIsSentAgainKeepsToThePresentVersion)
{
  order();
  traffic_.set_beyond_part(10);
  EXPECT_EQ(lane_of("r").at, side::trial);
  EXPECT_EQ(traffic_.lane_of({.service = "chat", .route = "r"}, true, start).at, side::present);
}

TEST_F(VersionTrafficTest, EndpointsOnTrialChangeWithTime)
{
  order();
  traffic_.set_beyond_part(10);
  EXPECT_EQ(lane_of("r").drawn_by, lane_of("r", start + 1s).drawn_by);
  EXPECT_NE(lane_of("r").drawn_by, lane_of("r", start + 4s).drawn_by);
}

TEST_F(VersionTrafficTest, PrefixesMoveInTurn)
{
  order(rollout_phase::moving);
  int moved = 0;
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    const bool early = lane_of("r", start + 10'500ms, key).at == side::target;
    moved += early ? 1 : 0;
    if (early) {
      EXPECT_EQ(lane_of("r", start + 11s, key).at, side::target);
    }
    EXPECT_EQ(lane_of("r", start + 12s, key).at, side::target);
  }
  EXPECT_NEAR(moved, 250, 60);
}

TEST_F(VersionTrafficTest, TellsCallsThatAreStillAtTheVersionBefore)
{
  traffic_.on_sent(call("r", "v1")); // before the order
  order(rollout_phase::moving);
  traffic_.on_sent(call("r", "v2"));
  const auto rows = traffic_.rows(start + 13s);
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_TRUE(rows[0].moved);
  EXPECT_EQ(rows[0].open_calls, 1U);
  traffic_.on_ended(call("r", "v1"), {});
  EXPECT_EQ(traffic_.rows(start + 13s)[0].open_calls, 0U);
}

TEST_F(VersionTrafficTest, CountsHowCallsFareByRouteAndEndpoint)
{
  order();
  traffic_.on_ended(call("r", "v1"), {.counts = true, .failed = true});
  traffic_.on_ended(call("r", "v2"), {.counts = true});
  traffic_.on_ended(call("r", "v2"), {.counts = false, .failed = true});
  const auto counted = traffic_.rows(start)[0].outcomes.at("r");
  EXPECT_EQ(counted.present, (outcome_counts{.calls = 1, .failed = 1}));
  EXPECT_EQ(counted.target.at(endpoint_id("e1")), outcome_counts{.calls = 1});
}

TEST_F(VersionTrafficTest, CallsThatTakeLongerThanTheRoutesOthersAreSlow)
{
  order();
  for (int i = 0; i < 200; ++i) {
    traffic_.on_ended(call("r", "v1"), {.counts = true, .first_seconds = 1.0 + 0.001 * (i % 10)});
  }
  traffic_.on_ended(call("r", "v2"), {.counts = true, .first_seconds = 4.0});
  EXPECT_EQ(traffic_.rows(start)[0].outcomes.at("r").target.at(endpoint_id("e1")).slow, 1U);
}

TEST_F(VersionTrafficTest, RowsTravelWhole)
{
  order();
  traffic_.on_ended(call("r", "v2"), {.counts = true, .failed = true});
  const auto rows = traffic_.rows(start);
  EXPECT_EQ(decode_rollout_rows(encode_rollout_rows(rows)), rows);
}

TEST_F(VersionTrafficTest, NothingIsToldOfAnOrderThatHasEnded)
{
  order();
  order(rollout_phase::rolled_back);
  EXPECT_TRUE(traffic_.rows(start).empty());
}

} // namespace
} // namespace wisteriaflow::gateway
