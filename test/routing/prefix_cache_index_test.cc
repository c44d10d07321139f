#include <algorithm>
#include <array>

#include <gtest/gtest.h>

#include "wisteriaflow/routing/prefix_blocks.h"
#include "wisteriaflow/routing/prefix_cache_index.h"

namespace wisteriaflow::routing {
namespace {

using std::chrono::seconds;

constexpr mono_time start{seconds(1000)};
constexpr std::array<std::uint64_t, 3> blocks = {11, 22, 33};

std::uint32_t matched(const prefix_cache_index& cache_index, endpoint_slot slot, mono_time now)
{
  std::array<std::uint32_t, 4> depth{};
  cache_index.match(blocks, now, depth);
  return depth[slot];
}

TEST(PrefixCacheIndexTest, MatchesTheBlocksThatWereSent)
{
  prefix_cache_index cache_index({});
  cache_index.on_sent(1, blocks, start);
  EXPECT_EQ(matched(cache_index, 1, start), 3U);
  EXPECT_EQ(matched(cache_index, 0, start), 0U);
}

TEST(PrefixCacheIndexTest, CountsOnlyTheContiguousPrefix)
{
  prefix_cache_index cache_index({});
  cache_index.on_event(1, {.sequence = 1, .prefix_hash = 11}, start);
  cache_index.on_event(1, {.sequence = 3, .prefix_hash = 33}, start);
  EXPECT_EQ(matched(cache_index, 1, start), 1U);
}

TEST(PrefixCacheIndexTest, RemovesABlockReportedAsEvicted)
{
  prefix_cache_index cache_index({});
  cache_index.on_sent(1, blocks, start);
  cache_index.on_event(1, {.prefix_hash = 33, .kind = cache_event::kind::evicted},
                       start + seconds(60));
  EXPECT_EQ(matched(cache_index, 1, start + seconds(60)), 2U);
}

TEST(PrefixCacheIndexTest, IgnoresADelayedEvictionEventAfterASend)
{
  prefix_cache_index cache_index({});
  cache_index.on_sent(1, blocks, start);
  cache_index.on_event(1, {.prefix_hash = 33, .kind = cache_event::kind::evicted},
                       start + seconds(1));
  EXPECT_EQ(matched(cache_index, 1, start + seconds(1)), 3U);
}

TEST(PrefixCacheIndexTest, ExpiresBlocksThatWereNotUpdatedForLong)
{
  prefix_cache_index cache_index({.expire_after = seconds(10)});
  cache_index.on_sent(1, blocks, start);
  EXPECT_EQ(matched(cache_index, 1, start + seconds(11)), 0U);
}

TEST(PrefixCacheIndexTest, StaysWithinItsLimit)
{
  prefix_cache_index cache_index({.max_blocks = 100});
  for (std::uint64_t i = 0; i < 1000; ++i) {
    cache_index.on_sent(1, std::array{i}, start);
    ASSERT_LE(cache_index.size(), 100U);
  }
}

TEST(PrefixCacheIndexTest, RemovesTheBlocksOfOneEndpoint)
{
  prefix_cache_index cache_index({});
  cache_index.on_sent(1, blocks, start);
  cache_index.on_sent(2, blocks, start);
  cache_index.remove_endpoint(1);
  EXPECT_EQ(matched(cache_index, 1, start), 0U);
  EXPECT_EQ(matched(cache_index, 2, start), 3U);
}

// `n` words, each of them `word`.
std::string words(std::size_t n, const std::string& word)
{
  std::string out;
  for (std::size_t i = 0; i < n; ++i) {
    out += word + " ";
  }
  return out;
}

TEST(PrefixBlocksTest, GivesEqualHashesToASharedPrefixOnly)
{
  const auto shared = words(2 * prefix_block_words, "s");
  const auto a = prefix_block_hashes(model_id("m"), shared + words(prefix_block_words, "a"));
  const auto b = prefix_block_hashes(model_id("m"), shared + words(prefix_block_words, "b"));
  ASSERT_EQ(a.size(), 3U);
  EXPECT_EQ(a[1], b[1]);
  EXPECT_NE(a[2], b[2]);
}

TEST(PrefixBlocksTest, HasNoHashOfABlockThatIsNotFull)
{
  EXPECT_EQ(prefix_block_hashes(model_id("m"), words(prefix_block_words - 1, "s")).size(), 0U);
}

TEST(PrefixBlocksTest, DoesNotDependOnTheKindOfWhiteSpace)
{
  const auto spaced = words(prefix_block_words, "s");
  auto broken = spaced;
  std::replace(broken.begin(), broken.end(), ' ', '\n');
  EXPECT_EQ(prefix_block_hashes(model_id("m"), spaced),
            prefix_block_hashes(model_id("m"), "  " + broken));
}

TEST(PrefixBlocksTest, DifferByModel)
{
  const auto prompt = words(prefix_block_words, "s");
  EXPECT_NE(prefix_block_hashes(model_id("m"), prompt), prefix_block_hashes(model_id("n"), prompt));
}

} // namespace
} // namespace wisteriaflow::routing
