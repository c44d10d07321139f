#include <gtest/gtest.h>

#include "wisteriaflow/admission/rate_limit.h"

namespace wisteriaflow::admission {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

TEST(RateLimitTest, StartsWithAFullBurst)
{
  const rate_limit limit(10, 2s);
  EXPECT_DOUBLE_EQ(limit.available(start), 20);
}

TEST(RateLimitTest, GainsUnitsAsTimePasses)
{
  rate_limit limit(10, 2s);
  limit.consume(20, start);
  EXPECT_NEAR(limit.available(start + 500ms), 5, 1e-6);
}

TEST(RateLimitTest, HasNothingAvailableInDebt)
{
  rate_limit limit(10, 1s);
  limit.consume(30, start);
  EXPECT_DOUBLE_EQ(limit.available(start), 0);
  EXPECT_EQ(limit.next_allowed_at(start), start + 2s);
}

} // namespace
} // namespace wisteriaflow::admission
