#include <set>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/usage_counts.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const workspace_id hotel("hotel");
const usage_source other{.daemon = daemon_id("b"), .incarnation = 7};

class UsageCountsTest : public testing::Test {
 protected:
  usage_counts counts_{{.daemon = daemon_id("a"), .incarnation = 1}, 5s, 3};
  wall_time at_{10'000s};
  usage_window window_ = counts_.window_at(at_);
};

TEST_F(UsageCountsTest, NumbersWindowsFromTheEpoch)
{
  EXPECT_EQ(window_, 2'000U);
  EXPECT_EQ(counts_.end_of(window_), wall_time{10'005s});
}

TEST_F(UsageCountsTest, SumsTheFleet)
{
  counts_.record_start(hotel, at_);
  counts_.merge({.source = other, .window = window_, .counts = {{hotel, 4}}});
  EXPECT_EQ(counts_.total(window_), (window_counts{{hotel, 5}}));
}

TEST_F(UsageCountsTest, IgnoresAnOldOrDuplicateRow)
{
  counts_.merge({.source = other, .window = window_, .counts = {{hotel, 4}}});
  counts_.merge({.source = other, .window = window_, .counts = {{hotel, 3}}});
  EXPECT_EQ(counts_.total(window_), (window_counts{{hotel, 4}}));
}

TEST_F(UsageCountsTest, CountsAnEarlierIncarnationOfThisDaemonSeparately)
{
  counts_.merge({.source = {.daemon = daemon_id("a"), .incarnation = 0},
                 .window = window_,
                 .counts = {{hotel, 2}}});
  counts_.record_start(hotel, at_);
  EXPECT_EQ(counts_.total(window_), (window_counts{{hotel, 3}}));
}

TEST_F(UsageCountsTest, RelaysTheRowsOfSilentDaemons)
{
  counts_.merge({.source = other, .window = window_, .counts = {{hotel, 4}}});
  EXPECT_TRUE(counts_.rows_for_peer([](const daemon_id&) { return false; }, 16).empty());
  EXPECT_EQ(counts_.rows_for_peer([](const daemon_id&) { return true; }, 16).size(), 1U);
}

TEST_F(UsageCountsTest, RelaysTheRowsOfManySilentDaemonsInRotation)
{
  constexpr std::uint64_t silent_daemons = 100;
  for (std::uint64_t n = 0; n < silent_daemons; ++n) {
    counts_.merge({.source = {.daemon = daemon_id("s" + std::to_string(n)), .incarnation = 7},
                   .window = window_,
                   .counts = {{hotel, n + 1}}});
  }
  std::set<usage_source> reported;
  for (int reports = 0; reports < 7; ++reports) {
    const auto rows = counts_.rows_for_peer([](const daemon_id&) { return true; }, 16);
    EXPECT_EQ(rows.size(), 16U);
    for (const auto& r : rows) {
      reported.insert(r.source);
    }
  }
  EXPECT_EQ(reported.size(), silent_daemons);
}

TEST_F(UsageCountsTest, SendsAllOfItsOwnRowsBesideRelayedOnes)
{
  counts_.record_start(hotel, at_);
  counts_.record_start(hotel, at_ + 5s);
  counts_.merge({.source = other, .window = window_, .counts = {{hotel, 4}}});
  EXPECT_EQ(counts_.rows_for_peer([](const daemon_id&) { return true; }, 1).size(), 3U);
}

TEST_F(UsageCountsTest, ForgetsWindowsThatAreNoLongerReported)
{
  counts_.record_start(hotel, at_);
  counts_.forget_old(at_ + 20s);
  EXPECT_TRUE(counts_.total(window_).empty());
}

} // namespace
} // namespace wisteriaflow::gateway
