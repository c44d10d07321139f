#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/retry_policy.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

class RetryPolicyTest : public testing::Test {
 protected:
  // Number of calls that one loop in each of `daemons` makes in `time` while every call fails
  // immediately.
  int calls_of_fleet(std::size_t daemons, milliseconds time, bool peers_relay_store)
  {
    int calls = 0;
    for (std::size_t n = 0; n < daemons; ++n) {
      retry_policy policy({}, n);
      unsigned failures = 0;
      for (milliseconds at{0}; at < time;) {
        ++calls;
        at += policy.backoff_after(++failures,
                                   {.daemons = daemons, .peers_relay_store = peers_relay_store});
      }
    }
    return calls;
  }

  retry_policy policy_{{}, 1};
};

TEST_F(RetryPolicyTest, TheBackoffDoublesWithEachFailure)
{
  EXPECT_LE(policy_.backoff_after(1, {}), 100ms);
  EXPECT_GT(policy_.backoff_after(3, {}), 199ms);
  EXPECT_LE(policy_.backoff_after(3, {}), 400ms);
}

TEST_F(RetryPolicyTest, ADaemonThatOnlyTheStoreCanInformRetriesEachSecond)
{
  for (unsigned failures = 1; failures < 1'000; failures += 7) {
    EXPECT_LE(policy_.backoff_after(failures, {.daemons = 390}), 1s);
  }
}

TEST_F(RetryPolicyTest, NoBackoffExceedsTheUpperLimit)
{
  for (unsigned failures = 1; failures < 1'000; failures += 7) {
    EXPECT_LE(policy_.backoff_after(failures, {.daemons = 390, .peers_relay_store = true}), 4s);
  }
}

TEST_F(RetryPolicyTest, AFleetThatIsRefusedForNineSecondsMakesABoundedNumberOfCalls)
{
  // 65 of 195 daemons. Without the growing limit, one loop of each made 13 calls a second.
  EXPECT_LE(calls_of_fleet(65, 9s, true), 65 * 9);
  EXPECT_LE(calls_of_fleet(195, 9s, true), 195 * 9);
}

TEST_F(RetryPolicyTest, DaemonsThatFailedTogetherRetryAtDifferentTimes)
{
  retry_policy other({}, 2);
  std::vector<milliseconds> a;
  std::vector<milliseconds> b;
  for (unsigned failures = 1; failures < 6; ++failures) {
    a.push_back(policy_.backoff_after(failures, {}));
    b.push_back(other.backoff_after(failures, {}));
  }
  EXPECT_NE(a, b);
}

} // namespace
} // namespace wisteriaflow::gateway
