#include <gtest/gtest.h>

#include "wisteriaflow/gateway/retry_budget.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

int taken(retry_budget& budget, mono_time now)
{
  int n = 0;
  while (budget.take("s", now)) {
    ++n;
  }
  return n;
}

TEST(RetryBudgetTest, GrantsAPartOfTheCallsAndOfTheSlack)
{
  retry_budget budget({.ratio = 0.2, .slack = 10, .used_part = 0.5});
  for (int i = 0; i < 100; ++i) {
    budget.on_call("s", start);
  }
  EXPECT_EQ(taken(budget, start), 15);
}

TEST(RetryBudgetTest, DividesTheSlackAmongTheDaemons)
{
  retry_budget budget({.ratio = 0.2, .slack = 10, .used_part = 1});
  budget.set_daemons(5);
  EXPECT_EQ(taken(budget, start), 2);
}

TEST(RetryBudgetTest, RepeatsCountForAWholeWindow)
{
  retry_budget budget({.ratio = 0, .slack = 4, .window = 10s, .used_part = 1});
  EXPECT_EQ(taken(budget, start), 4);
  EXPECT_EQ(taken(budget, start + 9'900ms), 0);
  EXPECT_EQ(taken(budget, start + 11s), 4);
}

TEST(RetryBudgetTest, CountsEachServiceByItself)
{
  retry_budget budget({.ratio = 0, .slack = 1, .used_part = 1});
  EXPECT_TRUE(budget.take("s", start));
  EXPECT_TRUE(budget.take("t", start));
}

} // namespace
} // namespace wisteriaflow::gateway
