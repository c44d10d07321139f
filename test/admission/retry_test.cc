#include <gtest/gtest.h>

#include "wisteriaflow/admission/retry.h"

namespace wisteriaflow::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{seconds(1000)};

int retries_allowed(retry_budget& budget, int tries, mono_time now)
{
  int allowed = 0;
  for (int i = 0; i < tries; ++i) {
    allowed += budget.try_retry(now) ? 1 : 0;
  }
  return allowed;
}

TEST(RetryBudgetTest, AllowsAFractionOfFirstAttempts)
{
  retry_budget budget({.fraction = 0.125, .min_per_second = 0, .max_balance = 50});
  static_cast<void>(retries_allowed(budget, 100, start));
  for (int i = 0; i < 80; ++i) {
    budget.on_first_attempt();
  }
  EXPECT_EQ(retries_allowed(budget, 100, start), 10);
}

TEST(RetryBudgetTest, AllowsAMinimumRateWithoutFirstAttempts)
{
  retry_budget budget({.min_per_second = 2});
  static_cast<void>(retries_allowed(budget, 100, start));
  EXPECT_EQ(retries_allowed(budget, 100, start + seconds(3)), 6);
}

TEST(BackoffTest, StaysBelowALimitThatDoubles)
{
  std::mt19937_64 rng(7);
  const backoff_options options{.base = milliseconds(20), .limit = milliseconds(100)};
  for (int i = 0; i < 100; ++i) {
    EXPECT_LE(next_retry_at(options, 0, start, rng), start + milliseconds(20));
    EXPECT_LE(next_retry_at(options, 1, start, rng), start + milliseconds(40));
    EXPECT_LE(next_retry_at(options, 9, start, rng), start + milliseconds(100));
  }
}

TEST(BackoffTest, SpreadsTheRetries)
{
  std::mt19937_64 rng(7);
  const auto first = next_retry_at({}, 3, start, rng);
  EXPECT_NE(first, next_retry_at({}, 3, start, rng));
}

} // namespace
} // namespace wisteriaflow::admission
