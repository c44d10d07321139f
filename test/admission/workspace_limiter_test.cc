#include <deque>
#include <random>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/admission/max_min_fair.h"
#include "wisteriaflow/admission/rate_limit.h"
#include "wisteriaflow/admission/workspace_limiter.h"

namespace wisteriaflow::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{seconds(1000)};
constexpr milliseconds tick{500};
const workspace_id large("large");
const workspace_id small("small");

share_amounts tokens_share(double rate)
{
  return {.values = {1e6, rate, 1e9}};
}

TEST(MaxMinFairTest, MeetsSmallDemandsInFullAndDividesTheRestEvenly)
{
  EXPECT_EQ(max_min_fair(10, std::vector<double>{2, 9, 9}), (std::vector<double>{2, 4, 4}));
}

TEST(RateLimitTest, AllowsRequestsAgainWhenTheDebtIsPaid)
{
  rate_limit limit(100, milliseconds(1000));
  limit.consume(300, start);
  EXPECT_EQ(limit.next_allowed_at(start), start + seconds(2));
  EXPECT_EQ(limit.next_allowed_at(start + seconds(3)), start + seconds(3));
}

TEST(RateLimitTest, KeepsADebtInUnitsWhenTheRateChanges)
{
  rate_limit limit(100, milliseconds(0));
  limit.consume(300, start);
  limit.set_rate(300, start);
  EXPECT_EQ(limit.next_allowed_at(start), start + seconds(1));
}

// A fleet of daemons that exchange their demand reports at each tick, with a delay in ticks.
class WorkspaceLimiterTest : public testing::Test {
 protected:
  void start_fleet(int daemons, const workspace_amounts& shares)
  {
    for (int i = 0; i < daemons; ++i) {
      fleet_.emplace_back(workspace_limiter_options{.self = daemon_id(std::to_string(i)),
                                                    .burst = milliseconds(1000)});
      fleet_.back().set_daemon_count(daemons);
      fleet_.back().set_shares(shares, now_);
    }
  }

  // Advances by one tick: every daemon refreshes, then receives the reports made `delay` ticks ago.
  void step(std::size_t delay)
  {
    now_ += tick;
    std::vector<demand_report> reports;
    for (auto& it : fleet_) {
      it.refresh(now_);
      reports.push_back(it.local_demand(now_));
    }
    gossip_.push_back(reports);
    if (gossip_.size() <= delay) {
      return;
    }
    for (auto& it : fleet_) {
      for (const auto& report : gossip_.front()) {
        it.on_demand_report(report);
      }
    }
    gossip_.pop_front();
  }

  // Sends `requests` requests of 10 tokens each to a daemon, spread over the next tick. Returns the
  // number of tokens admitted.
  double offer(workspace_limiter& daemon, const workspace_id& workspace, int requests)
  {
    double taken = 0;
    for (int i = 0; i < requests; ++i) {
      const auto at = now_ + tick * i / requests;
      if (!daemon.admit(workspace, 10, at)) {
        daemon.finish(workspace, 10, 10, at);
        taken += 10;
      }
    }
    return taken;
  }

  mono_time now_ = start;
  std::vector<workspace_limiter> fleet_;
  std::deque<std::vector<demand_report>> gossip_;
};

TEST_F(WorkspaceLimiterTest, GivesTheShareToTheDaemonsWithDemand)
{
  start_fleet(4, {{large, tokens_share(1000)}});
  double last = 0;
  for (int i = 0; i < 20; ++i) {
    last = offer(fleet_[0], large, 100);
    step(1);
  }
  EXPECT_NEAR(last, 500, 50) << "tokens admitted by the one busy daemon in half a second";
}

TEST_F(WorkspaceLimiterTest, LendsAnUnusedShareAndTakesItBackWithinSeconds)
{
  start_fleet(2, {{large, tokens_share(1000)}, {small, tokens_share(1000)}});
  double lent = 0;
  for (int i = 0; i < 20; ++i) {
    lent = offer(fleet_[0], large, 200);
    step(1);
  }
  EXPECT_GT(lent, 800) << "tokens in half a second, own share 500";
  double after_return = 0;
  double owner = 0;
  for (int i = 0; i < 8; ++i) {
    after_return = offer(fleet_[0], large, 200);
    owner = offer(fleet_[1], small, 200);
    step(1);
  }
  EXPECT_NEAR(after_return, 500, 100);
  EXPECT_NEAR(owner, 500, 100);
}

TEST_F(WorkspaceLimiterTest, ANewDaemonDoesNotBeginWithTheWholeShare)
{
  workspace_limiter daemon({.self = daemon_id("new")});
  daemon.set_daemon_count(5);
  daemon.set_shares({{large, tokens_share(1000)}}, start);
  EXPECT_DOUBLE_EQ(daemon.allowance(large)[share_unit::tokens_per_second], 200);
}

TEST_F(WorkspaceLimiterTest, BoundsTheTokensInFlightAndSaysWhenTheyHaveDrained)
{
  workspace_limiter daemon({.self = daemon_id("d")});
  daemon.set_shares({{large, {.values = {1e6, 1e6, 100}}}}, start);
  EXPECT_EQ(daemon.admit(large, 80, start), std::nullopt);
  const auto over = daemon.admit(large, 80, start);
  ASSERT_TRUE(over.has_value());
  EXPECT_EQ(over->unit, share_unit::tokens_in_flight);
  EXPECT_GT(over->retry_at, start);
  daemon.finish(large, 80, 80, start);
  EXPECT_EQ(daemon.admit(large, 80, start), std::nullopt);
}

TEST_F(WorkspaceLimiterTest, ADebtOfTokensDoesNotDelayACallWithoutTokens)
{
  workspace_limiter daemon({.self = daemon_id("d"), .burst = milliseconds(1000)});
  daemon.set_shares({{large, tokens_share(100)}}, start);
  EXPECT_EQ(daemon.admit(large, 1000, start), std::nullopt);
  EXPECT_NE(daemon.admit(large, 1, start), std::nullopt);
  EXPECT_EQ(daemon.admit(large, 0, start), std::nullopt);
}

TEST_F(WorkspaceLimiterTest, RefusesAnUndeclaredWorkspace)
{
  workspace_limiter daemon({.self = daemon_id("d")});
  const auto over = daemon.admit(small, 1, start);
  ASSERT_TRUE(over.has_value());
  EXPECT_EQ(over->unit, std::nullopt);
}

// Demand moves at random between the daemons and gossip is delayed. Over 20 s the fleet admits at
// most the share plus the bursts, with a tolerance of a quarter for demand not yet reported.
RC_GTEST_FIXTURE_PROP(WorkspaceLimiterTest, EnforcesTheShareFleetWide, ())
{
  constexpr double rate = 2000;
  constexpr int ticks = 40;
  const int daemons = *rc::gen::inRange(1, 8);
  const auto delay = *rc::gen::inRange<std::size_t>(0, 4);
  std::mt19937_64 rng(*rc::gen::arbitrary<std::uint64_t>());
  start_fleet(daemons, {{large, tokens_share(rate)}});
  double taken = 0;
  for (int i = 0; i < ticks; ++i) {
    for (auto& daemon : fleet_) {
      taken += offer(daemon, large, rng() % 4 == 0 ? 200 : 20);
    }
    step(delay);
  }
  const double window = std::chrono::duration<double>(tick * ticks).count();
  const double bursts = rate + 10 * daemons;
  RC_ASSERT(taken <= 1.25 * rate * window + bursts);
}

} // namespace
} // namespace wisteriaflow::admission
