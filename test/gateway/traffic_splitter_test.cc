#include <gtest/gtest.h>

#include "wisteriaflow/gateway/rollout_codec.h"
#include "wisteriaflow/gateway/traffic_splitter.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;
using subset = version_selection::subset;

const wall_time start{1'000s};

class TrafficSplitterTest : public testing::Test {
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
              .move_starts_at = start + 10s,
              .move_ends_at = start + 12s};
    registry_.update(r);
    splitter_.update_orders(registry_);
  }

  version_selection select(const std::string& route, wall_time now = start, std::uint64_t key = 1)
  {
    return splitter_.select({.service = "chat", .route = route, .affinity_key = key}, false, now);
  }

  // Sends a call to where the splitter selects. Returns true if that is the target.
  bool send(const std::string& route)
  {
    const bool to_target = select(route).endpoints == subset::trial;
    splitter_.on_sent(call(route, to_target ? "v2" : "v1"));
    return to_target;
  }

  static call_attempt call(const std::string& route, const std::string& version)
  {
    return {.service = "chat", .route = route, .version = version, .endpoint = endpoint_id("e1")};
  }

  rollout_registry registry_;
  traffic_splitter splitter_{{.source = {.daemon = daemon_id("d"), .incarnation = 1}}};
};

TEST_F(TrafficSplitterTest, WithoutAnOrderAllEndpointsTakeCalls)
{
  EXPECT_EQ(select("r").endpoints, subset::any);
}

TEST_F(TrafficSplitterTest, ATargetOnTrialGetsItsFractionOfEachRouteAndNoMore)
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

TEST_F(TrafficSplitterTest, AllRoutesTogetherStayWithinTheFractionAndTheExtraCalls)
{
  order();
  splitter_.set_extra_calls(4);
  int to_target = 0;
  for (int i = 0; i < 100; ++i) {
    for (const auto* route : {"a", "b", "c", "d", "e"}) {
      to_target += send(route) ? 1 : 0;
    }
  }
  EXPECT_LE(to_target, 0.08 * 500 + 4);
  EXPECT_GE(to_target, 0.08 * 500);
}

TEST_F(TrafficSplitterTest, ARepeatedCallGoesToTheBaselineVersion)
{
  order();
  splitter_.set_extra_calls(10);
  EXPECT_EQ(select("r").endpoints, subset::trial);
  EXPECT_EQ(splitter_.select({.service = "chat", .route = "r"}, true, start).endpoints,
            subset::baseline);
}

TEST_F(TrafficSplitterTest, EndpointsOnTrialChangeWithTime)
{
  order();
  splitter_.set_extra_calls(10);
  EXPECT_EQ(select("r").trial_seed, select("r", start + 1s).trial_seed);
  EXPECT_NE(select("r").trial_seed, select("r", start + 4s).trial_seed);
}

TEST_F(TrafficSplitterTest, CallsMoveByPrefix)
{
  order(rollout_phase::moving);
  int moved = 0;
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    const bool early = select("r", start + 10'500ms, key).endpoints == subset::target;
    moved += early ? 1 : 0;
    if (early) {
      EXPECT_EQ(select("r", start + 11s, key).endpoints, subset::target);
    }
    EXPECT_EQ(select("r", start + 12s, key).endpoints, subset::target);
  }
  EXPECT_NEAR(moved, 250, 60);
}

TEST_F(TrafficSplitterTest, ReportsCallsThatStillRunAtTheBaseline)
{
  splitter_.on_sent(call("r", "v1")); // before the order
  order(rollout_phase::moving);
  splitter_.on_sent(call("r", "v2"));
  const auto rows = splitter_.rows(start + 13s);
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_TRUE(rows[0].moved);
  EXPECT_EQ(rows[0].open_calls, 1U);
  splitter_.on_ended(call("r", "v1"), {});
  EXPECT_EQ(splitter_.rows(start + 13s)[0].open_calls, 0U);
}

TEST_F(TrafficSplitterTest, CountsOutcomesByRouteAndEndpoint)
{
  order();
  splitter_.on_ended(call("r", "v1"), {.is_counted = true, .failed = true});
  splitter_.on_ended(call("r", "v2"), {.is_counted = true});
  splitter_.on_ended(call("r", "v2"), {.is_counted = false, .failed = true});
  const auto counted = splitter_.rows(start)[0].outcomes.at("r");
  EXPECT_EQ(counted.baseline, (outcome_counts{.calls = 1, .failed = 1}));
  EXPECT_EQ(counted.target.at(endpoint_id("e1")), outcome_counts{.calls = 1});
}

TEST_F(TrafficSplitterTest, CallsThatTakeLongerThanOthersOfTheRouteAreSlow)
{
  order();
  for (int i = 0; i < 200; ++i) {
    splitter_.on_ended(call("r", "v1"),
                       {.is_counted = true, .first_event_seconds = 1.0 + 0.001 * (i % 10)});
  }
  splitter_.on_ended(call("r", "v2"), {.is_counted = true, .first_event_seconds = 4.0});
  EXPECT_EQ(splitter_.rows(start)[0].outcomes.at("r").target.at(endpoint_id("e1")).slow, 1U);
}

TEST_F(TrafficSplitterTest, RowsSurviveEncoding)
{
  order();
  splitter_.on_ended(call("r", "v2"), {.is_counted = true, .failed = true});
  const auto rows = splitter_.rows(start);
  EXPECT_EQ(decode_rollout_rows(encode_rollout_rows(rows)), rows);
}

TEST_F(TrafficSplitterTest, ReportsNoRowsOfAnOrderThatHasEnded)
{
  order();
  order(rollout_phase::rolled_back);
  EXPECT_TRUE(splitter_.rows(start).empty());
}

} // namespace
} // namespace wisteriaflow::gateway
