#include <gtest/gtest.h>

#include "wisteriaflow/gateway/inherited_holds.h"

namespace wisteriaflow::gateway {
namespace {

const crash_suspect part = prompt_part_id{1};
const crash_suspect content = content_id{.hash = {.high = 1, .low = 2}};
const mono_time start;
const mono_time later = start + inherited_holds::min_age;
const crash_hold hold{.crashed = {{.id = endpoint_id("i-1"), .incarnation = 7}}};

class InheritedHoldsTest : public testing::Test {
 protected:
  void count_calls(std::size_t with_part, std::size_t without)
  {
    for (std::size_t i = 0; i < with_part; ++i) {
      inherited_.on_call({{part, {}}});
    }
    for (std::size_t i = 0; i < without; ++i) {
      inherited_.on_call({});
    }
  }

  inherited_holds inherited_;
};

TEST_F(InheritedHoldsTest, IsDoubtfulIfItRefusesMostCalls)
{
  inherited_.add(part, hold, start);
  count_calls(inherited_holds::min_calls, 0);
  EXPECT_TRUE(inherited_.is_doubtful(part, hold, later));
}

TEST_F(InheritedHoldsTest, IsNotDoubtfulIfMostCallsLackThePart)
{
  inherited_.add(part, hold, start);
  count_calls(9, 11);
  EXPECT_FALSE(inherited_.is_doubtful(part, hold, later));
}

TEST_F(InheritedHoldsTest, IsNotDoubtfulBeforeEnoughCalls)
{
  inherited_.add(part, hold, start);
  count_calls(inherited_holds::min_calls - 1, 0);
  EXPECT_FALSE(inherited_.is_doubtful(part, hold, later));
}

TEST_F(InheritedHoldsTest, IsNotDoubtfulBeforeTheDaemonsKnowEachOther)
{
  inherited_.add(part, hold, start);
  count_calls(inherited_holds::min_calls, 0);
  EXPECT_FALSE(inherited_.is_doubtful(part, hold, start));
}

TEST_F(InheritedHoldsTest, IsNotDoubtfulAfterAFurtherCrash)
{
  inherited_.add(part, hold, start);
  count_calls(inherited_holds::min_calls, 0);
  auto after_test = hold;
  after_test.crashed.push_back({.id = endpoint_id("i-2")});
  EXPECT_FALSE(inherited_.is_doubtful(part, after_test, later));
}

TEST_F(InheritedHoldsTest, IsNotDoubtfulIfThisDaemonObservedTheCrashes)
{
  count_calls(inherited_holds::min_calls, 0);
  EXPECT_FALSE(inherited_.is_doubtful(part, hold, later));
}

TEST_F(InheritedHoldsTest, AContestedContentIsDoubtful)
{
  auto contested = hold;
  contested.is_contested = true;
  inherited_.add(content, contested, start);
  EXPECT_FALSE(inherited_.is_doubtful(content, contested, start));
  EXPECT_TRUE(inherited_.is_doubtful(content, contested, later));
}

TEST_F(InheritedHoldsTest, AnotherContentIsNeverDoubtful)
{
  inherited_.add(content, hold, start);
  for (std::size_t i = 0; i < inherited_holds::min_calls; ++i) {
    inherited_.on_call({{content, {}}});
  }
  EXPECT_FALSE(inherited_.is_doubtful(content, hold, later));
}

} // namespace
} // namespace wisteriaflow::gateway
