#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/rate_shares.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const endpoint_id endpoint("e");

std::vector<daemon_id> daemons(int number)
{
  std::vector<daemon_id> out;
  out.reserve(static_cast<std::size_t>(number));
  for (int n = 0; n < number; ++n) {
    out.emplace_back("d" + std::to_string(n));
  }
  return out;
}

// A fleet whose daemons send requests as soon as they may.
class RateSharesTest : public testing::Test {
 protected:
  void start_fleet(int number, double rate)
  {
    for (const auto& id : daemons(number)) {
      fleet_.emplace(id, rate_shares(id));
    }
    share_among(daemons(number), static_cast<std::size_t>(number));
    for (auto& [id, shares] : fleet_) {
      shares.set(endpoint, rate, now_);
    }
  }

  // The daemons in `connected` have recent reports of each other; `running` daemons exist in total.
  void share_among(const std::vector<daemon_id>& connected, std::size_t running)
  {
    for (const auto& id : connected) {
      auto others = connected;
      std::erase(others, id);
      fleet_.at(id).set_fleet(
          {.candidates = others, .live_count = connected.size(), .running_count = running}, now_);
    }
  }

  // Returns the number of requests that the endpoint gets in `time`.
  int run_for(std::chrono::milliseconds time)
  {
    int sent = 0;
    for (const auto end = now_ + time; now_ < end; now_ += 10ms) {
      for (auto& [id, shares] : fleet_) {
        if (shares.next_allowed_at(endpoint, now_) <= now_) {
          shares.take(endpoint, now_);
          ++sent;
        }
      }
    }
    return sent;
  }

  [[nodiscard]] int open_count() const
  {
    return static_cast<int>(std::count_if(fleet_.begin(), fleet_.end(), [&](const auto& it) {
      return it.second.next_allowed_at(endpoint, now_) <= now_;
    }));
  }

  std::map<daemon_id, rate_shares> fleet_;
  mono_time now_ = start;
};

TEST_F(RateSharesTest, DoNotLimitAnEndpointWithoutARate)
{
  const rate_shares shares(daemon_id("d"));
  EXPECT_EQ(shares.next_allowed_at(endpoint, start), start);
}

TEST_F(RateSharesTest, AddUpToTheFullRateInFleetsOfAnySize)
{
  for (const int number : {1, 2, 6, 60, 390}) {
    for (const double rate : {0.2, 1.0, 1.6, 7.0, 40.0}) {
      fleet_.clear();
      start_fleet(number, rate);
      run_for(8s);
      EXPECT_NEAR(run_for(60s), 60 * rate, 4 + 0.1 * 60 * rate) << number << " " << rate;
    }
  }
}

TEST_F(RateSharesTest, SaveUpFewRequestsHoweverLargeTheFleetIs)
{
  start_fleet(390, 1.0);
  now_ += 60s;
  EXPECT_LE(open_count(), 4);
}

TEST_F(RateSharesTest, StartWithoutASavedUpRequest)
{
  start_fleet(60, 1.0);
  EXPECT_EQ(run_for(700ms), 0);
  EXPECT_LE(run_for(3'300ms), 4);
}

TEST_F(RateSharesTest, KeepTheEndpointInUseWhenAHolderDies)
{
  start_fleet(6, 1.0);
  run_for(8s);
  const auto holder = std::find_if(fleet_.begin(), fleet_.end(), [&](const auto& it) {
                        return it.second.next_allowed_at(endpoint, now_ + 4s) <= now_ + 4s;
                      })->first;
  fleet_.erase(holder);
  auto left = daemons(6);
  std::erase(left, holder);
  share_among(left, 6);
  EXPECT_LE(run_for(4s), 4 + 4);
  EXPECT_GE(run_for(30s), 24);
}

TEST_F(RateSharesTest, KeepTheRateInTotalOnBothSidesOfANetworkPartition)
{
  start_fleet(6, 2.0);
  run_for(8s);
  const auto all = daemons(6);
  share_among({all.begin(), all.begin() + 2}, 6);
  share_among({all.begin() + 2, all.end()}, 6);
  run_for(4s);
  EXPECT_LE(run_for(20s), 40 + 4);
}

TEST_F(RateSharesTest, GiveNothingToALeavingDaemon)
{
  rate_shares shares(daemon_id("d"));
  shares.set_fleet({.leaving = true}, start);
  shares.set(endpoint, 5.0, start);
  EXPECT_GT(shares.next_allowed_at(endpoint, start + 60s), start + 60s);
}

TEST_F(RateSharesTest, ProbeAnEndpointWithRateZeroOnceAMinute)
{
  start_fleet(6, 0);
  run_for(60s);
  EXPECT_LE(run_for(120s), 2);
}

TEST_F(RateSharesTest, GiveADaemonWithoutAShareTheNextSendTimeOfAHolder)
{
  start_fleet(60, 2.0);
  EXPECT_TRUE(std::any_of(fleet_.begin(), fleet_.end(), [&](const auto& it) {
    return it.second.next_allowed_at(endpoint, now_ + 60s) == now_ + 60s + 500ms;
  }));
}

} // namespace
} // namespace wisteriaflow::gateway
