#include <gtest/gtest.h>

#include "wisteriaflow/gateway/usage_courier.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const workspace_id bank("bank");
const wall_time start{1'000'000s}; // a window begins here
constexpr std::chrono::milliseconds window_length{5'000};

class UsageCourierTest : public testing::Test {
 protected:
  // Counts a request at the start of a window, and moves on to two seconds after its end.
  void end_a_window()
  {
    counts_.record_start(bank, start);
    now_ = start + window_length + 2s;
  }

  static usage_row row_of(const char* daemon, usage_window window, std::uint64_t n = 1)
  {
    return {.source = {.daemon = daemon_id(daemon)}, .window = window, .counts = {{bank, n}}};
  }

  usage_counts counts_{{.daemon = daemon_id("self")}, window_length, 5};
  usage_courier courier_{{.self = daemon_id("self")}};
  usage_route route_{.relays = {daemon_id("r1"), daemon_id("r2")}, .leader = daemon_id("lead")};
  usage_window window_ = counts_.window_at(start);
  wall_time now_ = start;
};

TEST_F(UsageCourierTest, SendsNothingInASmallFleet)
{
  end_a_window();
  EXPECT_TRUE(courier_.due(counts_, {.leader = daemon_id("lead")}, now_).empty());
}

TEST_F(UsageCourierTest, SendsNothingBeforeAWindowHasEnded)
{
  counts_.record_start(bank, start);
  EXPECT_TRUE(courier_.due(counts_, route_, start + 4s).empty());
}

TEST_F(UsageCourierTest, SendsTheOwnCountsToBothRelays)
{
  end_a_window();
  const auto due = courier_.due(counts_, route_, now_);
  ASSERT_EQ(due.size(), 2U);
  EXPECT_EQ(due[0].to, daemon_id("r1"));
  EXPECT_EQ(due[1].to, daemon_id("r2"));
  EXPECT_EQ(due[0].rows, (std::vector<usage_row>{row_of("self", window_)}));
}

TEST_F(UsageCourierTest, RepeatsWhatARelayHasNotConfirmed)
{
  end_a_window();
  const auto due = courier_.due(counts_, route_, now_);
  courier_.on_delivered(due[0]);
  EXPECT_EQ(courier_.due(counts_, route_, now_), (std::vector<usage_delivery>{due[1]}));
}

TEST_F(UsageCourierTest, SendsAgainWhatWasCountedLate)
{
  end_a_window();
  for (const auto& d : courier_.due(counts_, route_, now_)) {
    courier_.on_delivered(d);
  }
  counts_.record_start(bank, start);
  EXPECT_EQ(courier_.due(counts_, route_, now_).size(), 2U);
}

TEST_F(UsageCourierTest, ARelayPassesRowsOnToTheLeaderTogether)
{
  const std::vector<usage_row> rows{row_of("a", window_), row_of("b", window_)};
  courier_.on_received({rows[0]});
  courier_.on_received({rows[1]});
  const auto due = courier_.due(counts_, route_, now_);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0], (usage_delivery{.to = daemon_id("lead"), .to_leader = true, .rows = rows}));
  courier_.on_delivered(due[0]);
  EXPECT_TRUE(courier_.due(counts_, route_, now_).empty());
}

TEST_F(UsageCourierTest, ARelaySendsTheRowsAgainToTheNextLeader)
{
  courier_.on_received({row_of("a", window_)});
  courier_.on_delivered(courier_.due(counts_, route_, now_).at(0));
  route_.leader = daemon_id("next");
  const auto due = courier_.due(counts_, route_, now_);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].to, daemon_id("next"));
}

TEST_F(UsageCourierTest, ARelayKeepsRowsUntilALeaderIsKnown)
{
  courier_.on_received({row_of("a", window_)});
  route_.leader.reset();
  EXPECT_TRUE(courier_.due(counts_, route_, now_).empty());
  route_.leader = daemon_id("lead");
  EXPECT_EQ(courier_.due(counts_, route_, now_).size(), 1U);
}

TEST_F(UsageCourierTest, ALeaderPassesNothingOn)
{
  courier_.on_received({row_of("a", window_)});
  route_.leader = daemon_id("self");
  EXPECT_TRUE(courier_.due(counts_, route_, now_).empty());
}

TEST_F(UsageCourierTest, ForgetsWindowsThatCanNoLongerBeReported)
{
  courier_.on_received({row_of("a", window_)});
  EXPECT_TRUE(courier_.due(counts_, route_, start + 3 * window_length).empty());
}

} // namespace
} // namespace wisteriaflow::gateway
