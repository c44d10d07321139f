#include <gtest/gtest.h>

#include "wisteriaflow/gateway/answer_progress.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const answer_progress crashed{.position = 10, .time = 1'000ms};

TEST(AnswerProgressTest, IsFurtherWithMoreEventsAndMoreTime)
{
  EXPECT_TRUE(is_further({.position = 12, .time = 1'300ms}, crashed));
}

TEST(AnswerProgressTest, IsNotFurtherWithinWhatTwoRunsDifferBy)
{
  EXPECT_FALSE(is_further({.position = 11, .time = 1'300ms}, crashed));
  EXPECT_FALSE(is_further({.position = 12, .time = 1'299ms}, crashed));
}

TEST(AnswerProgressTest, IsNotFurtherAtAFasterOrASlowerEndpoint)
{
  EXPECT_FALSE(is_further({.position = 50, .time = 1'000ms}, crashed));
  EXPECT_FALSE(is_further({.position = 10, .time = 9'000ms}, crashed));
}

TEST(AnswerProgressTest, NeedsMoreToBeFurtherInALongAnswer)
{
  const answer_progress late{.position = 800, .time = 8'000ms};
  EXPECT_FALSE(is_further({.position = 899, .time = 9'000ms}, late));
  EXPECT_FALSE(is_further({.position = 900, .time = 8'999ms}, late));
  EXPECT_TRUE(is_further({.position = 900, .time = 9'000ms}, late));
}

TEST(AnswerProgressTest, IsNeverFurtherThanAnUnknownPosition)
{
  const answer_progress resumed{.position = answer_progress::unknown_position};
  EXPECT_FALSE(is_further({.position = 1'000'000, .time = 1h}, resumed));
}

TEST(AnswerProgressTest, CombinesWhatEachRunShows)
{
  EXPECT_EQ(furthest_of({.position = 5, .time = 2s}, {.position = 9, .time = 1s}),
            (answer_progress{.position = 9, .time = 2s}));
}

} // namespace
} // namespace wisteriaflow::gateway
