#include <gtest/gtest.h>

#include "wisteriaflow/gateway/retry_budget.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

int take_all(retry_budget& budget, mono_time now)
{
  int n = 0;
  while (budget.take("s", now)) {
    ++n;
  }
  return n;
}

TEST(RetryBudgetTest, GrantsAPartOfTheCallsAndOfTheFleetAllowance)
{
  retry_budget budget({.retry_ratio = 0.2, .fleet_allowance = 10, .safety_factor = 0.5});
  for (int i = 0; i < 100; ++i) {
    budget.on_call("s", start);
  }
  EXPECT_EQ(take_all(budget, start), 15);
}

TEST(RetryBudgetTest, DividesTheFleetAllowanceAmongTheDaemons)
{
  retry_budget budget({.retry_ratio = 0.2, .fleet_allowance = 10, .safety_factor = 1});
  budget.set_daemons(5);
  EXPECT_EQ(take_all(budget, start), 2);
}

TEST(RetryBudgetTest, RetriesCountForAWholeWindow)
{
  retry_budget budget({.retry_ratio = 0, .fleet_allowance = 4, .window = 10s, .safety_factor = 1});
  EXPECT_EQ(take_all(budget, start), 4);
  EXPECT_EQ(take_all(budget, start + 9'900ms), 0);
  EXPECT_EQ(take_all(budget, start + 11s), 4);
}

TEST(RetryBudgetTest, CountsEachServiceSeparately)
{
  retry_budget budget({.retry_ratio = 0, .fleet_allowance = 1, .safety_factor = 1});
  EXPECT_TRUE(budget.take("s", start));
  EXPECT_TRUE(budget.take("t", start));
}

} // namespace
} // namespace wisteriaflow::gateway
