#include <gtest/gtest.h>

#include "wisteriaflow/gateway/departures.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

class DeparturesTest : public testing::Test {
 protected:
  static constexpr std::uint64_t incarnation = 1'000;

  // Records that the endpoint departed in era 1.
  void depart(std::uint64_t of_incarnation)
  {
    departures_.record({.id = id_, .revision = {1, 110}}, of_incarnation, true, mono_time{1'000s});
  }

  [[nodiscard]] bool had_departed(store_revision revision, std::uint64_t described) const
  {
    return departures_.had_departed({.id = id_, .incarnation = described}, revision);
  }

  endpoint_id id_{"i-1"};
  departures departures_{2'500ms};
};

TEST_F(DeparturesTest, ALaterDescriptionOfTheSameEraBringsTheEndpointBack)
{
  depart(incarnation);
  EXPECT_TRUE(had_departed({1, 110}, incarnation));
  EXPECT_FALSE(had_departed({1, 111}, incarnation));
}

TEST_F(DeparturesTest, ADescriptionInARestoredStoreDoesNotBringTheSameProcessBack)
{
  depart(incarnation);
  EXPECT_TRUE(had_departed({2, 83}, incarnation));
  EXPECT_TRUE(had_departed({2, 150}, incarnation));
}

TEST_F(DeparturesTest, ADescriptionInARestoredStoreBringsANewProcessBack)
{
  depart(incarnation);
  EXPECT_FALSE(had_departed({2, 83}, incarnation + 1));
}

TEST_F(DeparturesTest, AProcessOfUnknownStartCountsAsTheSame)
{
  depart(0);
  EXPECT_TRUE(had_departed({2, 83}, incarnation));
}

TEST_F(DeparturesTest, TheRemovalOfALeavingEndpointIsNotGossipedAgain)
{
  depart(incarnation);
  departures_.record({.id = id_, .revision = {1, 120}}, incarnation, false, mono_time{1'005s});
  EXPECT_TRUE(departures_.to_gossip({}, mono_time{1'005s}).empty());
  EXPECT_EQ(departures_.to_gossip({1, 110}, mono_time{1'005s}).size(), 1U);
}

TEST_F(DeparturesTest, ADepartureFromARestoredStoreCountsWhateverItsNumber)
{
  depart(incarnation);
  departures_.record({.id = id_, .revision = {2, 83}}, incarnation + 1, true, mono_time{1'001s});
  EXPECT_TRUE(had_departed({2, 83}, incarnation + 1));
  EXPECT_FALSE(had_departed({2, 84}, incarnation + 1));
}

} // namespace
} // namespace wisteriaflow::gateway
