#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/rollout_codec.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const wall_time start{1'000s};

rollout order_to(const std::string& version, std::uint64_t revision,
                 rollout_phase phase = rollout_phase::trial)
{
  return {.service = "chat",
          .order = order_id("chat", version, std::to_string(revision)),
          .revision = revision,
          .target = version,
          .ordered_at = start,
          .deadline = start + 20s,
          .phase = phase};
}

rollout in_phase(rollout r, rollout_phase phase)
{
  r.phase = phase;
  return r;
}

TEST(RolloutTest, RolledBackWinsOverMoving)
{
  const auto order = order_to("v2", 5);
  const auto moving = in_phase(order, rollout_phase::moving);
  const auto bad = in_phase(order, rollout_phase::rolled_back);
  EXPECT_EQ(merged(moving, bad).phase, rollout_phase::rolled_back);
  EXPECT_EQ(merged(bad, moving).phase, rollout_phase::rolled_back);
}

TEST(RolloutTest, SucceededWinsOverRolledBack)
{
  const auto order = order_to("v2", 5);
  const auto done = in_phase(order, rollout_phase::succeeded);
  const auto bad = in_phase(order, rollout_phase::rolled_back);
  EXPECT_EQ(merged(bad, done).phase, rollout_phase::succeeded);
}

TEST(RolloutTest, TheEarliestDeadlineIsKept)
{
  const auto early = order_to("v2", 5);
  auto late = early;
  late.ordered_at += 3s;
  late.deadline += 3s;
  EXPECT_EQ(merged(late, early).deadline, early.deadline);
}

TEST(RolloutTest, TrafficMovesGradually)
{
  auto order = order_to("v2", 5, rollout_phase::moving);
  order.move_starts_at = start;
  order.move_ends_at = start + 2s;
  EXPECT_EQ(order.moved_fraction(start), 0);
  EXPECT_DOUBLE_EQ(order.moved_fraction(start + 500ms), 0.25);
  EXPECT_EQ(order.moved_fraction(start + 2s), 1);
}

TEST(RolloutTest, OnlyTheVersionThatTrafficMovesToCarriesIt)
{
  const auto order = order_to("v2", 5);
  EXPECT_TRUE(carries_traffic(order, "v1"));
  EXPECT_FALSE(carries_traffic(order, "v2"));
  EXPECT_TRUE(carries_traffic(in_phase(order, rollout_phase::moving), "v2"));
  EXPECT_TRUE(carries_traffic(in_phase(order, rollout_phase::rolled_back), "v1"));
}

TEST(RolloutRegistryTest, RefusesABadVersionAndNoOther)
{
  rollout_registry registry;
  registry.update(order_to("v2", 5, rollout_phase::rolled_back));
  EXPECT_TRUE(registry.is_refused("chat", "v2"));
  EXPECT_FALSE(registry.is_refused("chat", "v1"));
  EXPECT_FALSE(registry.is_refused("portal", "v2"));
}

TEST(RolloutRegistryTest, RefusesEveryOtherVersionOnceOneHasSucceeded)
{
  rollout_registry registry;
  registry.update(order_to("v2", 5, rollout_phase::succeeded));
  EXPECT_TRUE(registry.is_refused("chat", "v1"));
  EXPECT_FALSE(registry.is_refused("chat", "v2"));
}

TEST(RolloutRegistryTest, AReplacedOrderLeavesItsVersionRefused)
{
  rollout_registry registry;
  registry.update(order_to("v2", 5));
  EXPECT_TRUE(registry.update(order_to("v3", 9)));
  EXPECT_TRUE(registry.is_refused("chat", "v2"));
  EXPECT_FALSE(registry.is_refused("chat", "v3"));
}

TEST(RolloutRegistryTest, AVersionThatSucceededStaysInUseBesideTheNextOrder)
{
  rollout_registry registry;
  registry.update(order_to("v2", 5, rollout_phase::succeeded));
  registry.update(order_to("v3", 9));
  EXPECT_FALSE(registry.is_refused("chat", "v2"));
}

TEST(RolloutRegistryTest, AVersionThatIsOrderedAgainGetsANewTrial)
{
  rollout_registry registry;
  registry.update(order_to("v2", 5, rollout_phase::rolled_back));
  registry.update(order_to("v2", 9));
  EXPECT_FALSE(registry.is_refused("chat", "v2"));
  EXPECT_EQ(registry.find("chat")->phase, rollout_phase::trial);
}

TEST(RolloutRegistryTest, OldUpdatesChangeNothing)
{
  rollout_registry registry;
  registry.update(order_to("v3", 9));
  EXPECT_FALSE(registry.update(order_to("v3", 9)));
  registry.update(order_to("v2", 5, rollout_phase::moving));
  EXPECT_EQ(registry.find("chat")->target, "v3");
}

TEST(RolloutRegistryTest, AWithdrawnOrderIsRolledBack)
{
  rollout_registry registry;
  registry.update(order_to("v2", 5));
  EXPECT_TRUE(registry.withdraw("chat", 7));
  EXPECT_TRUE(registry.is_refused("chat", "v2"));
  EXPECT_FALSE(registry.withdraw("chat", 8));
}

TEST(RolloutRegistryTest, SurvivesEncoding)
{
  rollout_registry registry;
  registry.update(order_to("v2", 5));
  registry.update(order_to("v3", 9, rollout_phase::moving));
  EXPECT_EQ(decode_rollouts(encode_rollouts(registry.all())), registry.all());
}

RC_GTEST_PROP(RolloutRegistryTest, DaemonsConvergeInWhateverOrderUpdatesArrive, ())
{
  // Successive orders, each updated in several phases.
  std::vector<rollout> orders;
  for (const std::uint64_t revision : {5U, 9U, 14U}) {
    const auto version = "v" + std::to_string(*rc::gen::inRange(2, 5));
    const auto updates = *rc::gen::inRange(1, 4);
    for (int i = 0; i < updates; ++i) {
      orders.push_back(order_to(version, revision,
                                *rc::gen::element(rollout_phase::trial, rollout_phase::moving,
                                                  rollout_phase::rolled_back)));
    }
  }
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  rollout_registry first;
  rollout_registry second;
  for (const auto& r : orders) {
    first.update(r);
  }
  std::shuffle(orders.begin(), orders.end(), random);
  for (const auto& r : orders) {
    second.update(r);
  }
  RC_ASSERT(first.find("chat")->order == second.find("chat")->order);
  RC_ASSERT(first.find("chat")->phase == second.find("chat")->phase);
}

} // namespace
} // namespace wisteriaflow::gateway
