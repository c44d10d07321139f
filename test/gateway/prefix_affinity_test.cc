#include <gtest/gtest.h>

#include "wisteriaflow/gateway/prefix_affinity.h"

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

TEST(SplitPromptTest, GivesDifferentKeysAfterDifferentParts)
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

TEST(SplitPromptTest, BoundsTheBlocksOfALongPrompt)
{
  const std::vector<prompt_part> longest{{1, 512}, {2, 1'000'000}};
  EXPECT_EQ(split_prompt(longest).hashes.size(), 256U);
}

TEST(PrefixSpreadTest, GivesAPrefixWithLittleTrafficOneEndpoint)
{
  prefix_traffic_meter meter;
  EXPECT_EQ(meter.affinity_count(1, 0.1, 6, start), 1U);
  EXPECT_EQ(meter.affinity_count(1, 0.1, 6, start + 10s), 1U);
}

TEST(PrefixSpreadTest, GivesABusyPrefixMoreEndpoints)
{
  prefix_traffic_meter meter;
  std::size_t endpoints = 0;
  // Each of six daemons sends ten requests a second of 0.1 s each: the time of six endpoints.
  for (int i = 0; i < 100; ++i) {
    endpoints = meter.affinity_count(1, 0.1, 6, start + i * 100ms);
  }
  EXPECT_GE(endpoints, 10U);
  EXPECT_LE(endpoints, 14U);
}

TEST(PrefixSpreadTest, MeasuresEachPrefixSeparately)
{
  prefix_traffic_meter meter;
  for (int i = 0; i < 100; ++i) {
    static_cast<void>(meter.affinity_count(1, 0.1, 6, start + i * 100ms));
  }
  EXPECT_EQ(meter.affinity_count(2, 0.1, 6, start + 10s), 1U);
}

TEST(PrefixSpreadTest, EvictsIdlePrefixes)
{
  prefix_traffic_meter meter({.max_prefixes = 10});
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    EXPECT_EQ(meter.affinity_count(key, 0.1, 6, start + key * 1ms), 1U);
  }
}

class LikeliestHolderTest : public testing::Test {
 protected:
  const std::vector<prompt_part> parts_{{1, 512}, {2, 1'024}, {3, 300}};
  const prompt_blocks prompt_ = split_prompt(parts_);
};

TEST_F(LikeliestHolderTest, IsTheEndpointThatWasSentMost)
{
  const std::vector<prefix_holder> holders{{.id = endpoint_id("a")},
                                           {.id = endpoint_id("b"), .blocks_sent = 6},
                                           {.id = endpoint_id("c")}};
  EXPECT_EQ(likeliest_holder(prompt_, holders), 1U);
}

TEST_F(LikeliestHolderTest, IsTheSameForAllDaemonsThatHaveSentNothing)
{
  const std::vector<prefix_holder> one{{.id = endpoint_id("a")}, {.id = endpoint_id("b")}};
  const std::vector<prefix_holder> other{{.id = endpoint_id("b")}, {.id = endpoint_id("a")}};
  EXPECT_EQ(one[*likeliest_holder(prompt_, one)].id, other[*likeliest_holder(prompt_, other)].id);
}

TEST_F(LikeliestHolderTest, DoesNotCountTheRequestsOwnPart)
{
  const std::vector<prefix_holder> holders{{.id = endpoint_id("a"), .blocks_sent = 6},
                                           {.id = endpoint_id("b"), .blocks_sent = 7}};
  const std::vector<prefix_holder> equals{{.id = endpoint_id("a"), .blocks_sent = 6},
                                          {.id = endpoint_id("b"), .blocks_sent = 6}};
  EXPECT_EQ(likeliest_holder(prompt_, holders), likeliest_holder(prompt_, equals));
}

TEST_F(LikeliestHolderTest, IsNoneIfNothingIsShared)
{
  const std::vector<prompt_part> own{{3, 5'000}};
  const std::vector<prefix_holder> holders{{.id = endpoint_id("a")}};
  EXPECT_FALSE(likeliest_holder(split_prompt(own), holders));
  EXPECT_FALSE(likeliest_holder(prompt_, {}));
}

} // namespace
} // namespace wisteriaflow::gateway
