#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/retry_time.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

class ReturnTimeTest : public testing::Test {
 protected:
  mono_time at(std::optional<mono_time> available_at, int rank)
  {
    return retry_time({.now = start, .available_at = available_at, .rank = rank}, rng_);
  }

  std::mt19937_64 rng_{1};
};

TEST_F(ReturnTimeTest, IsNotBeforeCapacityIsAvailable)
{
  for (int i = 0; i < 100; ++i) {
    EXPECT_GE(at(start + 800ms, i % 4), start + 800ms);
  }
}

TEST_F(ReturnTimeTest, IsInTheFutureEvenIfOpenAtHasPassed)
{
  EXPECT_GT(at(start - 5s, 0), start);
}

TEST_F(ReturnTimeTest, IsSoonIfOpenAtIsUnknown)
{
  EXPECT_LE(at(std::nullopt, 0), start + 400ms);
}

TEST_F(ReturnTimeTest, LetsMoreUrgentRanksReturnFirst)
{
  for (int i = 0; i < 100; ++i) {
    EXPECT_LT(at(start + 1s, 0), at(start + 1s, 1));
    EXPECT_LT(at(start + 1s, 1), at(start + 1s, 2));
  }
}

TEST_F(ReturnTimeTest, ClampsRanksOutOfRange)
{
  EXPECT_LT(at(start + 1s, -7), start + 1'501ms);
  EXPECT_LE(at(start + 1s, 1'000'000), start + 3s);
}

// 600 calls of three ranks are refused at the same moment; capacity is available in a second.
TEST_F(ReturnTimeTest, CallsRefusedTogetherDoNotReturnTogether)
{
  constexpr int calls = 600;
  std::vector<mono_time> returns;
  returns.reserve(calls);
  for (int i = 0; i < calls; ++i) {
    returns.push_back(at(start + 1s, i % 3));
  }
  std::sort(returns.begin(), returns.end());
  std::ptrdiff_t max_in_window = 0;
  for (auto it = returns.begin(); it != returns.end(); ++it) {
    const auto end = std::upper_bound(it, returns.end(), *it + 100ms);
    max_in_window = std::max(max_in_window, end - it);
  }
  EXPECT_LT(max_in_window, calls / 8) << "within 100 ms";
}

} // namespace
} // namespace wisteriaflow::gateway
