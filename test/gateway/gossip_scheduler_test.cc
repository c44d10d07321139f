#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/gossip_scheduler.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

class GossipSchedulerTest : public testing::Test {
 protected:
  static std::vector<http::socket_address> peers(std::uint16_t number)
  {
    std::vector<http::socket_address> out;
    for (std::uint16_t i = 0; i < number; ++i) {
      out.push_back({.host = "10.0.0.1", .port = static_cast<std::uint16_t>(7'000 + i)});
    }
    return out;
  }

  gossip_scheduler scheduler_{{.period = 400ms}, 1};
};

TEST_F(GossipSchedulerTest, AsksAllOfASmallFleet)
{
  EXPECT_EQ(scheduler_.next_targets(peers(7), {}, start).size(), 7U);
}

TEST_F(GossipSchedulerTest, AsksAFewOfALargeFleet)
{
  EXPECT_EQ(scheduler_.next_targets(peers(62), {}, start).size(), 3U);
}

TEST_F(GossipSchedulerTest, AsksEveryPeerOfALargeFleetWithinTheFewestPossibleRounds)
{
  std::set<http::socket_address> asked;
  for (int round = 0; round < 21; ++round) {
    const auto now = start + round * 400ms;
    for (const auto& peer : scheduler_.next_targets(peers(62), {}, now)) {
      scheduler_.on_report(peer, now);
      asked.insert(peer);
    }
  }
  EXPECT_EQ(asked.size(), 62U);
}

TEST_F(GossipSchedulerTest, AsksOneOfTheCoordinatorsOfALargeFleetInEverySecondRound)
{
  const auto known = peers(62);
  const std::vector<http::socket_address> coordinators(known.end() - 3, known.end());
  std::map<http::socket_address, int> asked;
  for (int round = 0; round < 30; ++round) {
    const auto now = start + round * 400ms;
    for (const auto& peer : scheduler_.next_targets(known, {coordinators, 62}, now)) {
      scheduler_.on_report(peer, now);
      ++asked[peer];
    }
  }
  for (const auto& coordinator : coordinators) {
    EXPECT_GE(asked[coordinator], 4); // in thirty rounds
  }
}

TEST_F(GossipSchedulerTest, LeavesOutAPeerThatHasJustReported)
{
  scheduler_.on_report(peers(1).front(), start);
  EXPECT_TRUE(scheduler_.next_targets(peers(1), {}, start + 100ms).empty());
  EXPECT_FALSE(scheduler_.next_targets(peers(1), {}, start + 300ms).empty());
}

TEST_F(GossipSchedulerTest, AsksSilentAddressesLessOften)
{
  std::size_t asked = 0;
  for (int round = 0; round < 20; ++round) {
    asked += scheduler_.next_targets(peers(1), {}, start + round * 400ms).size();
  }
  EXPECT_EQ(asked, 5U + 3U); // of twenty rounds
}

TEST_F(GossipSchedulerTest, SendsUrgentUpdatesToPeersThatHaveJustReported)
{
  scheduler_.on_report(peers(1).front(), start);
  EXPECT_EQ(scheduler_.next_urgent_targets(peers(1)).size(), 1U);
}

TEST_F(GossipSchedulerTest, AsksFewNeighboursOfAFleetOfHundreds)
{
  std::set<http::socket_address> asked;
  constexpr int rounds = 30;
  for (int round = 0; round < rounds; ++round) {
    const auto now = start + round * 100ms; // within the time after which neighbours change
    for (const auto& peer : scheduler_.next_targets(peers(986), {}, now)) {
      scheduler_.on_report(peer, now);
      asked.insert(peer);
    }
  }
  EXPECT_LE(asked.size(), 16U + rounds / 5 + 1);
  EXPECT_GT(asked.size(), 16U); // some others, so that separated parts find each other
}

TEST_F(GossipSchedulerTest, AsksFewerPeersOfAFleetOfHundredsAfterTheStart)
{
  EXPECT_EQ(scheduler_.next_targets(peers(986), {}, start).size(), 3U);
  EXPECT_EQ(scheduler_.next_targets(peers(986), {}, start + 6s).size(), 2U);
}

TEST_F(GossipSchedulerTest, ChoosesOtherNeighboursWhenOnesThatItHadAreGone)
{
  static_cast<void>(scheduler_.next_targets(peers(986), {}, start));
  const auto left = peers(400);
  for (const auto& peer : scheduler_.next_targets(left, {}, start + 400ms)) {
    EXPECT_NE(std::find(left.begin(), left.end(), peer), left.end());
  }
}

} // namespace
} // namespace wisteriaflow::gateway
