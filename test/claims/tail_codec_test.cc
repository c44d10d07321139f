#include <string>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/tail_codec.h"

namespace wisteriaflow::claims {
namespace {

claim_entry entry_of(std::uint64_t n)
{
  return {.key = {.high = n, .low = ~n},
          .body_hash = n * 3,
          .created = from_unix_ms(static_cast<std::int64_t>(n % 1'000'000)),
          .executor = daemon_id("daemon-" + std::to_string(n % 3)),
          .nonce = n + 1};
}

shard_tail tail_of(const std::vector<std::uint64_t>& numbers)
{
  shard_tail tail{.epoch = 7, .owner = daemon_id("a"), .write_nonce = ~0ULL, .next_segment = 2};
  for (const auto n : numbers) {
    tail.entries.push_back(entry_of(n));
    tail.retired.push_back({.epoch = n, .number = 4});
    tail.segments.push_back(
        {.id = {.epoch = n, .number = 1}, .entries = 9, .max_created = from_unix_ms(5)});
  }
  return tail;
}

RC_GTEST_PROP(TailCodecTest, DecodesWhatItEncodedAsText,
              (const std::vector<std::uint64_t>& numbers))
{
  const auto tail = tail_of(numbers);
  const auto text = boost::json::serialize(encode_tail(tail));
  RC_ASSERT(decode_tail(boost::json::parse(text)) == tail);
}

TEST(TailCodecTest, ReadsBackASegment)
{
  const claim_segment segment{.id = {.epoch = 3, .number = 4}, .entries = {entry_of(1)}};
  EXPECT_EQ(decode_segment(encode_segment(segment)), segment);
}

TEST(TailCodecTest, RefusesADocumentThatIsCutShort)
{
  auto spec = encode_tail(tail_of({1}));
  spec.as_object()["entries"] = "AAAA";
  EXPECT_THROW((void)decode_tail(spec), malformed_document_error);
  EXPECT_THROW((void)decode_tail(boost::json::value{}), malformed_document_error);
}

TEST(TailCodecTest, NamesSegmentsByShardEpochAndNumber)
{
  EXPECT_EQ(segment_name(7, {.epoch = 12, .number = 3}), "shard-007-12-3");
}

} // namespace
} // namespace wisteriaflow::claims
