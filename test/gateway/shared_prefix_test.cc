#include <gtest/gtest.h>

#include "wisteriaflow/gateway/shared_prefix.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

TEST(SplitPromptTest, GivesEqualKeysToPromptsThatShareAllButTheirLastPart)
{
  const std::vector<prompt_part> one{{1, 512}, {2, 1'024}, {3, 300}};
  const std::vector<prompt_part> two{{1, 512}, {2, 1'024}, {4, 2'000}};
  EXPECT_EQ(split_prompt(one).shared, 6U);
  EXPECT_TRUE(split_prompt(one).shared_key);
  EXPECT_EQ(split_prompt(one).shared_key, split_prompt(two).shared_key);
}

TEST(SplitPromptTest, GivesOtherKeysAfterOtherParts)
{
  const std::vector<prompt_part> one{{1, 512}, {2, 1'024}, {3, 300}};
  const std::vector<prompt_part> two{{9, 512}, {2, 1'024}, {3, 300}};
  EXPECT_NE(split_prompt(one).shared_key, split_prompt(two).shared_key);
}

TEST(SplitPromptTest, GivesNoKeyWhereNothingIsShared)
{
  EXPECT_FALSE(split_prompt(std::vector<prompt_part>{{1, 5'000}}).shared_key);
  EXPECT_FALSE(split_prompt(std::vector<prompt_part>{{1, 100}, {2, 5'000}}).shared_key);
  EXPECT_FALSE(split_prompt({}).shared_key);
}

TEST(SplitPromptTest, KeepsTheBlocksOfALongPromptBounded)
{
  const std::vector<prompt_part> longest{{1, 512}, {2, 1'000'000}};
  EXPECT_EQ(split_prompt(longest).hashes.size(), 256U);
}

TEST(PrefixSpreadTest, GivesAQuietPrefixOneHome)
{
  prefix_spread spread;
  EXPECT_EQ(spread.homes_of(1, 0.1, 6, start), 1U);
  EXPECT_EQ(spread.homes_of(1, 0.1, 6, start + 10s), 1U);
}

TEST(PrefixSpreadTest, GivesABusyPrefixMoreHomes)
{
  prefix_spread spread;
  std::size_t homes = 0;
  // Ten requests a second of 0.1 s each at each of six daemons: six endpoints' time.
  for (int i = 0; i < 100; ++i) {
    homes = spread.homes_of(1, 0.1, 6, start + i * 100ms);
  }
  EXPECT_GE(homes, 10U);
  EXPECT_LE(homes, 14U);
}

TEST(PrefixSpreadTest, MeasuresEachPrefixByItself)
{
  prefix_spread spread;
  for (int i = 0; i < 100; ++i) {
    static_cast<void>(spread.homes_of(1, 0.1, 6, start + i * 100ms));
  }
  EXPECT_EQ(spread.homes_of(2, 0.1, 6, start + 10s), 1U);
}

TEST(PrefixSpreadTest, ForgetsPrefixesThatAreNotAskedForAnyMore)
{
  prefix_spread spread({.most_prefixes = 10});
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    EXPECT_EQ(spread.homes_of(key, 0.1, 6, start + key * 1ms), 1U);
  }
}

} // namespace
} // namespace wisteriaflow::gateway
