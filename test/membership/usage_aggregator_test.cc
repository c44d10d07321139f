#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/usage_aggregator.h"

namespace wisteriaflow::membership {
namespace {

using std::chrono::milliseconds;

const workspace_id banking{"banking"};

class usage_aggregator_test : public testing::Test {
 public:
  static constexpr int fleet_size = 20;

  usage_aggregator_test()
  {
    for (int i = 0; i < fleet_size; ++i) {
      daemons.push_back(daemon_member("d" + std::to_string(i), zone_of(i)));
      aggregators.push_back(new_aggregator(i));
    }
  }

  static std::string zone_of(int i) { return "z" + std::to_string(i % 4); }

  static usage_aggregator new_aggregator(int i)
  {
    return usage_aggregator(
        {.self = daemon_id{"d" + std::to_string(i)}, .zone = availability_zone{zone_of(i)}});
  }

  // Every daemon reports at `now` and receives the sums in the replies.
  void report(mono_time now)
  {
    for (auto& aggregator : aggregators) {
      for (const auto& reports : aggregator.take_reports(pointers_to(daemons), now)) {
        auto& owner = aggregators.at(std::stoul(reports.to.value().substr(1)));
        aggregator.receive_sums(owner.receive_reports(reports.usage, now), now);
      }
    }
  }

  std::vector<member> daemons;
  std::vector<usage_aggregator> aggregators;
};

using UsageAggregatorTest = usage_aggregator_test; // NOLINT(readability-identifier-naming)

TEST_F(UsageAggregatorTest, EveryDaemonReceivesTheFleetsSum)
{
  for (auto& aggregator : aggregators) {
    aggregator.set_local_usage(banking, 10, 1);
  }
  for (int i = 0; i <= 3; ++i) {
    report(at(std::int64_t{1000} * i).mono);
  }
  for (const auto& aggregator : aggregators) {
    const auto usage = aggregator.fleet_usage(banking, at(3000).mono);
    ASSERT_TRUE(usage.has_value());
    EXPECT_DOUBLE_EQ(usage->tokens_per_second, 10.0 * fleet_size);
  }
}

TEST_F(UsageAggregatorTest, AStoppedReporterIsNoLongerCounted)
{
  aggregators[0].set_local_usage(banking, 10, 1);
  aggregators[1].set_local_usage(banking, 10, 1);
  report(at(0).mono);
  aggregators[1] = new_aggregator(1);
  for (int i = 1; i <= 8; ++i) {
    report(at(std::int64_t{1000} * i).mono);
  }
  EXPECT_DOUBLE_EQ(aggregators[0].fleet_usage(banking, at(8000).mono)->tokens_per_second, 10);
}

TEST_F(UsageAggregatorTest, AnExpiredSumIsNotReturned)
{
  aggregators[0].set_local_usage(banking, 10, 1);
  report(at(0).mono);
  report(at(1000).mono);
  ASSERT_TRUE(aggregators[0].fleet_usage(banking, at(1001).mono).has_value());
  EXPECT_FALSE(aggregators[0].fleet_usage(banking, at(4000).mono).has_value());
}

TEST_F(UsageAggregatorTest, ThePeriodGrowsWithTheZone)
{
  std::vector<member> many;
  many.reserve(48);
  for (int i = 0; i < 48; ++i) {
    many.push_back(daemon_member("d" + std::to_string(i), zone_of(0)));
  }
  aggregators[0].take_reports(pointers_to(many), at(0).mono);
  EXPECT_EQ(aggregators[0].report_due() - at(0).mono, milliseconds(4000));
}

TEST_F(UsageAggregatorTest, ReportsOnlyTheLargestWorkspaces)
{
  usage_aggregator aggregator(
      {.self = daemon_id{"d0"}, .zone = availability_zone{"z1"}, .max_workspaces = 2});
  for (int i = 1; i <= 4; ++i) {
    aggregator.set_local_usage(workspace_id{"w" + std::to_string(i)}, i, 1);
  }
  const std::vector<member> others = {daemon_member("d1")};
  const auto reports = aggregator.take_reports(pointers_to(others), at(0).mono);
  ASSERT_EQ(reports.size(), 1U);
  ASSERT_EQ(reports[0].usage.size(), 2U);
  EXPECT_EQ(reports[0].usage[0].workspace, workspace_id{"w4"});
}

} // namespace
} // namespace wisteriaflow::membership
