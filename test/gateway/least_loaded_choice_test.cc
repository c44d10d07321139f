#include <array>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/least_loaded_choice.h"

namespace wisteriaflow::gateway {
namespace {

class PlainChoiceTest : public testing::Test {
 protected:
  std::optional<std::size_t> choose(const std::vector<plain_candidate>& candidates)
  {
    return choose_least_loaded(candidates, rng_);
  }

  std::mt19937_64 rng_{1};
};

TEST_F(PlainChoiceTest, ChoosesTheEndpointWithTheFewestOwnCalls)
{
  EXPECT_EQ(choose({{.own_calls = 2, .places = 6}, {.own_calls = 1, .places = 6}}), 1U);
}

TEST_F(PlainChoiceTest, CountsCallsPerPlace)
{
  EXPECT_EQ(choose({{.own_calls = 2, .places = 10}, {.own_calls = 1, .places = 2}}), 0U);
}

TEST_F(PlainChoiceTest, DrawsAmongEqualsEvenly)
{
  constexpr int draws = 3'000;
  const std::vector<plain_candidate> equals(3, {.places = 6});
  std::array<int, 3> drawn{};
  for (int i = 0; i < draws; ++i) {
    ++drawn.at(*choose(equals));
  }
  for (const int n : drawn) {
    EXPECT_NEAR(n, draws / 3.0, 100);
  }
}

TEST_F(PlainChoiceTest, ChoosesAnEndpointThatDeclaresNoPlaces)
{
  EXPECT_EQ(choose({{.places = 0}}), 0U);
}

TEST_F(PlainChoiceTest, ReturnsNothingWithoutCandidates)
{
  EXPECT_FALSE(choose({}));
}

} // namespace
} // namespace wisteriaflow::gateway
