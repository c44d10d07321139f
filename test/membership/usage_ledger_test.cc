#include "membership/fixtures.h"
#include "wisteriaflow/membership/usage_ledger.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace wisteriaflow::membership {
namespace {

using std::chrono::milliseconds;

const workspace_id banking{"banking"};

class usage_ledger_test : public testing::Test {
 protected:
  static constexpr int fleet_size = 20;

  usage_ledger_test()
  {
    for (int i = 0; i < fleet_size; ++i) {
      daemons_.push_back(daemon_member("d" + std::to_string(i)));
      ledgers_.emplace_back(usage_ledger_options{.self = daemon_id{"d" + std::to_string(i)}});
    }
  }

  // Every daemon reports at `now`, and gets its owner's sums.
  void report(mono_time now)
  {
    for (auto& ledger : ledgers_) {
      for (const auto& reports : ledger.take_reports(pointers_to(daemons_), now)) {
        auto& owner = ledgers_.at(std::stoul(reports.owner.value().substr(1)));
        ledger.receive_sums(owner.receive_reports(reports.usage, now), now);
      }
    }
  }

  std::vector<member> daemons_;
  std::vector<usage_ledger> ledgers_;
};

using UsageLedgerTest = usage_ledger_test; // NOLINT(readability-identifier-naming)

TEST_F(UsageLedgerTest, EveryDaemonHearsTheFleetsSum)
{
  for (auto& ledger : ledgers_) {
    ledger.set_own(banking, 10, 1);
  }
  report(at(0).mono);
  report(at(1000).mono);
  for (const auto& ledger : ledgers_) {
    const auto usage = ledger.fleet_usage(banking, at(1000).mono);
    ASSERT_TRUE(usage.has_value());
    EXPECT_DOUBLE_EQ(usage->tokens_per_second, 10.0 * fleet_size);
  }
}

TEST_F(UsageLedgerTest, AReporterThatDiedStopsCounting)
{
  ledgers_[0].set_own(banking, 10, 1);
  ledgers_[1].set_own(banking, 10, 1);
  report(at(0).mono);
  ledgers_[1] = usage_ledger({.self = daemon_id{"d1"}});
  for (int i = 1; i <= 4; ++i) {
    report(at(i * 1000).mono);
  }
  EXPECT_DOUBLE_EQ(ledgers_[0].fleet_usage(banking, at(4000).mono)->tokens_per_second, 10);
}

TEST_F(UsageLedgerTest, AStaleSumIsNotGivenOut)
{
  ledgers_[0].set_own(banking, 10, 1);
  report(at(0).mono);
  EXPECT_FALSE(ledgers_[0].fleet_usage(banking, at(3000).mono).has_value());
}

TEST_F(UsageLedgerTest, ThePeriodGrowsWithTheFleet)
{
  std::vector<member> many;
  for (int i = 0; i < 400; ++i) {
    many.push_back(daemon_member("d" + std::to_string(i)));
  }
  ledgers_[0].take_reports(pointers_to(many), at(0).mono);
  EXPECT_EQ(ledgers_[0].report_due() - at(0).mono, milliseconds(4000));
}

TEST_F(UsageLedgerTest, ReportsOnlyTheLargestWorkspaces)
{
  usage_ledger ledger({.self = daemon_id{"d0"}, .max_workspaces = 2});
  for (int i = 1; i <= 4; ++i) {
    ledger.set_own(workspace_id{"w" + std::to_string(i)}, i, 1);
  }
  const std::vector<member> others = {daemon_member("d1")};
  const auto reports = ledger.take_reports(pointers_to(others), at(0).mono);
  ASSERT_EQ(reports.size(), 1U);
  ASSERT_EQ(reports[0].usage.size(), 2U);
  EXPECT_EQ(reports[0].usage[0].workspace, workspace_id{"w4"});
}

} // namespace
} // namespace wisteriaflow::membership
