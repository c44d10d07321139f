#include <map>
#include <set>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/peer_rounds.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

class PeerRoundsTest : public testing::Test {
 protected:
  static std::vector<http::socket_address> peers(std::uint16_t number)
  {
    std::vector<http::socket_address> out;
    for (std::uint16_t i = 0; i < number; ++i) {
      out.push_back({.host = "10.0.0.1", .port = static_cast<std::uint16_t>(7'000 + i)});
    }
    return out;
  }

  peer_rounds rounds_{{.period = 400ms}, 1};
};

TEST_F(PeerRoundsTest, AsksAllOfASmallFleet)
{
  EXPECT_EQ(rounds_.next(peers(7), {}, start).size(), 7U);
}

TEST_F(PeerRoundsTest, AsksAFewOfALargeFleet)
{
  EXPECT_EQ(rounds_.next(peers(62), {}, start).size(), 3U);
}

TEST_F(PeerRoundsTest, HearsEveryPeerOfALargeFleetInAsManyRoundsAsItNeeds)
{
  std::set<http::socket_address> heard;
  for (int round = 0; round < 21; ++round) {
    const auto now = start + round * 400ms;
    for (const auto& peer : rounds_.next(peers(62), {}, now)) {
      rounds_.on_answer(peer, now);
      heard.insert(peer);
    }
  }
  EXPECT_EQ(heard.size(), 62U);
}

TEST_F(PeerRoundsTest, AsksOneOfTheLeadsOfALargeFleetInEverySecondRound)
{
  const auto known = peers(62);
  const std::vector<http::socket_address> leads(known.end() - 3, known.end());
  std::map<http::socket_address, int> asked;
  for (int round = 0; round < 30; ++round) {
    const auto now = start + round * 400ms;
    for (const auto& peer : rounds_.next(known, leads, now)) {
      rounds_.on_answer(peer, now);
      ++asked[peer];
    }
  }
  for (const auto& lead : leads) {
    EXPECT_GE(asked[lead], 4); // in thirty rounds
  }
}

TEST_F(PeerRoundsTest, LeavesOutAPeerThatHasJustAsked)
{
  rounds_.on_answer(peers(1).front(), start);
  EXPECT_TRUE(rounds_.next(peers(1), {}, start + 100ms).empty());
  EXPECT_FALSE(rounds_.next(peers(1), {}, start + 300ms).empty());
}

TEST_F(PeerRoundsTest, AsksSilentAddressesSeldom)
{
  std::size_t asked = 0;
  for (int round = 0; round < 20; ++round) {
    asked += rounds_.next(peers(1), {}, start + round * 400ms).size();
  }
  EXPECT_EQ(asked, 5U + 3U); // of twenty rounds
}

TEST_F(PeerRoundsTest, TellsNewsToPeersThatHaveJustAsked)
{
  rounds_.on_answer(peers(1).front(), start);
  EXPECT_EQ(rounds_.next_for_news(peers(1)).size(), 1U);
}

} // namespace
} // namespace wisteriaflow::gateway
