#include <set>

#include <gtest/gtest.h>

#include "capacity/fixtures.h"
#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::capacity {
namespace {

using namespace std::chrono_literals;

class PlannerTest : public testing::Test {
 protected:
  PlannerTest() { planner_.take_over(7, {}); }

  std::vector<planner_action> plan(std::chrono::milliseconds since_start)
  {
    return planner_.plan(input_, at(since_start));
  }

  std::vector<launch> launches(std::chrono::milliseconds since_start)
  {
    return all_of_type<launch>(plan(since_start));
  }

  std::vector<pool_instance>& instances() { return input_.pools.at(0).instances; }

  // Answers the planner's launches, adds their instances to the list and has them load their
  // models.
  void bring_up(std::chrono::milliseconds since_start)
  {
    for (const auto& l : launches(since_start)) {
      const auto id = "i" + std::to_string(++last_id_);
      planner_.on_launch_answered(l.token, launch_started{instance_id(id)}, at(since_start));
      instances().push_back(instance_of(l, id));
    }
    for (int i = 0; i < 10; ++i) {
      for (const auto& order : all_of_type<order_load>(plan(since_start + i * 1s))) {
        planner_.on_load_answered(order.endpoint, order.load, true);
      }
    }
  }

  void set_price(const std::string& zone, bool reclaimable, double price)
  {
    for (auto& o : input_.offers) {
      if (o.key == key_of(zone, reclaimable)) {
        o.price_per_hour = price;
      }
    }
  }

  plan_input input_ = usual_input();
  planner planner_{planner_options{}};
  int last_id_ = 0;
};

TEST_F(PlannerTest, LaunchesTheCheapestMix)
{
  std::set<offer_key> keys;
  for (const auto& l : launches(0s)) {
    keys.insert(l.key);
  }
  EXPECT_EQ(keys, (std::set{key_of("a", true), key_of("b", true), key_of("c", true)}));
}

TEST_F(PlannerTest, LaunchesNothingMoreWhileLaunchesArePending)
{
  launches(0s);
  EXPECT_EQ(launches(1s).size(), 0U);
}

TEST_F(PlannerTest, RetriesALaunchWithTheSameTokenAfterALostAnswer)
{
  const auto first = launches(0s).at(0).token;
  planner_.on_launch_answered(first, launch_unanswered{}, at(1s));
  const auto again = launches(6s);
  ASSERT_FALSE(again.empty());
  EXPECT_EQ(again.at(0).token, first);
}

TEST_F(PlannerTest, ResolvesALostAnswerByTheInstanceList)
{
  for (const auto& l : launches(0s)) {
    planner_.on_launch_answered(l.token, launch_unanswered{}, at(1s));
    instances().push_back(instance_of(l, "seen-" + l.token));
  }
  EXPECT_EQ(launches(10s).size(), 0U);
}

TEST_F(PlannerTest, ANewHolderRetriesTheLaunchesOfTheFormerOne)
{
  const auto tokens = launches(0s);
  planner successor{planner_options{}};
  successor.take_over(8, decode_launches(encode_launches(planner_.launches())));
  std::set<std::string> retried;
  for (const auto& l : all_of_type<launch>(successor.plan(input_, at(1s)))) {
    retried.insert(l.token);
  }
  EXPECT_EQ(retried, (std::set{tokens.at(0).token, tokens.at(1).token, tokens.at(2).token}));
}

TEST_F(PlannerTest, FallsBackToTheNextCheapestOfferAfterARefusal)
{
  for (const auto& l : launches(0s)) {
    planner_.on_launch_answered(l.token, launch_refused{}, at(0s));
  }
  for (const auto& l : launches(1s)) {
    EXPECT_FALSE(l.key.reclaimable) << to_string(l.key);
  }
}

TEST_F(PlannerTest, TriesARefusedOfferAgainLater)
{
  for (const auto& l : launches(0s)) {
    planner_.on_launch_answered(l.token, launch_refused{}, at(0s));
  }
  EXPECT_TRUE(launches(6s).at(0).key.reclaimable);
}

TEST_F(PlannerTest, CountsAnInstanceOnlyOnceItHasItsModel)
{
  for (const auto& l : launches(0s)) {
    instances().push_back(instance_of(l, "i-" + l.token));
  }
  plan(1s);
  EXPECT_EQ(planner_.reports().at(0).serving, 0);
}

TEST_F(PlannerTest, PacesLoadsToTheRateOfTheWeightStore)
{
  for (const auto& l : launches(0s)) {
    instances().push_back(instance_of(l, "i-" + l.token));
  }
  EXPECT_EQ(all_of_type<order_load>(plan(1s)).size(), 1U) << "loading 1 GB at 1 GB/s";
  EXPECT_EQ(all_of_type<order_load>(plan(1'500ms)).size(), 0U);
  EXPECT_EQ(all_of_type<order_load>(plan(2s)).size(), 1U);
}

TEST_F(PlannerTest, OrdersCarryTheFencingNumber)
{
  instances().push_back({.id = instance_id("i"), .key = key_of("a", true)});
  EXPECT_EQ(all_of_type<order_load>(plan(0s)).at(0).fencing_number, 7U);
}

TEST_F(PlannerTest, ReplacesALeavingInstanceAtOnceElsewhere)
{
  bring_up(0s);
  instances().at(0).leaving = true;
  const auto reclaimed_key = instances().at(0).key;
  const auto replacements = launches(60s);
  ASSERT_FALSE(replacements.empty());
  for (const auto& l : replacements) {
    EXPECT_NE(l.key, reclaimed_key) << "instances of this offer are being reclaimed";
  }
}

TEST_F(PlannerTest, DoesNotSwitchForASavingThatDoesNotPayForTheStart)
{
  bring_up(0s);
  set_price("b", true, 0.295);
  EXPECT_EQ(plan(60s).size(), 0U);
}

TEST_F(PlannerTest, ReleasesNothingBeforeTheReplacementServes)
{
  bring_up(0s);
  set_price("a", true, 0.9);
  set_price("a", false, 0.1);
  const auto actions = plan(60s);
  EXPECT_EQ(all_of_type<launch>(actions).size(), 1U);
  EXPECT_EQ(all_of_type<release>(actions).size(), 0U);
}

TEST_F(PlannerTest, ReleasesWhatIsReplacedOnceTheReplacementServes)
{
  bring_up(0s);
  const auto expensive = instances().at(0).id;
  ASSERT_EQ(instances().at(0).key, key_of("a", true));
  set_price("a", true, 0.9);
  set_price("a", false, 0.1);
  for (const auto& l : launches(60s)) {
    instances().push_back(instance_of(l, "replacement"));
  }
  for (const auto& order : all_of_type<order_load>(plan(61s))) {
    planner_.on_load_answered(order.endpoint, order.load, true);
  }
  const auto released = all_of_type<release>(plan(70s));
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released.at(0).id, expensive);
}

TEST_F(PlannerTest, KeepsInstancesThroughAShortLull)
{
  bring_up(0s);
  input_.pools.at(0).demand = {};
  EXPECT_EQ(all_of_type<release>(plan(60s)).size(), 0U);
}

TEST_F(PlannerTest, ReleasesAfterALongLull)
{
  bring_up(0s);
  input_.pools.at(0).demand = {};
  EXPECT_EQ(all_of_type<release>(plan(20min)).size(), 3U);
}

TEST_F(PlannerTest, ReleasesAnInstanceOnceWhileTheListIsDelayed)
{
  bring_up(0s);
  input_.pools.at(0).demand = {};
  plan(20min);
  EXPECT_EQ(all_of_type<release>(plan(20min + 5s)).size(), 0U);
}

TEST_F(PlannerTest, ReleasesALaunchedInstanceThatNeverServes)
{
  const auto l = launches(0s).at(0);
  planner_.on_launch_answered(l.token, launch_started{instance_id("stuck")}, at(1s));
  const auto released = all_of_type<release>(plan(16min));
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released.at(0).id, instance_id("stuck"));
}

TEST_F(PlannerTest, KeepsAnIdlePoolInTwoZones)
{
  input_.pools.at(0).demand = {};
  input_.pools.at(0).pool.min_instances = 2;
  const auto wanted = launches(0s);
  ASSERT_EQ(wanted.size(), 2U);
  EXPECT_NE(wanted.at(0).key.zone, wanted.at(1).key.zone);
}

TEST_F(PlannerTest, AvoidsOffersWithReclaimsObservedBeforeItTookOver)
{
  planner successor{planner_options{}};
  input_.pools.at(0).instances.push_back(
      {.id = instance_id("i"), .key = key_of("a", true), .leaving = true});
  successor.observe(input_.pools, at(0s).mono);
  instances().clear();
  successor.take_over(8, {});
  for (const auto& l : all_of_type<launch>(successor.plan(input_, at(10s)))) {
    EXPECT_NE(l.key, key_of("a", true));
  }
}

TEST_F(PlannerTest, IgnoresAPoolWhoseMaximumIsZero)
{
  input_.pools.at(0).pool.max_instances = 0;
  EXPECT_EQ(plan(0s).size(), 0U);
}

TEST_F(PlannerTest, ExplainsWhyAnInstanceIsKept)
{
  bring_up(0s);
  plan(60s);
  EXPECT_EQ(planner_.reasons().at(0).reason,
            "a/large/reclaimable at 0.30 an hour: in the cheapest mix, carries 0.50 of the demand");
}

} // namespace
} // namespace wisteriaflow::capacity
