#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/open_streams.h"
#include "wisteriaflow/gateway/stream_origin_codec.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const service_version first{.service = "chat", .version = "v1"};

stream_id id_of(std::uint64_t n)
{
  return {.hash = {.high = n, .low = ~n}};
}

started_stream stream_of(std::uint64_t n)
{
  return {.origin = {.stream = id_of(n), .version = first, .expires_at = start + 30s},
          .services = {"chat"},
          .memory = 30s};
}

origins_by_version all_of(const open_streams& open)
{
  return open.origins([](const started_stream&) { return true; });
}

TEST(OpenStreamsTest, AStreamIsOpenUntilItExpires)
{
  open_streams open({});
  open.start(stream_of(1));
  open.forget_expired(start + 29s);
  EXPECT_EQ(all_of(open), (origins_by_version{{first, {id_of(1)}}}));
  open.forget_expired(start + 30s);
  EXPECT_TRUE(all_of(open).empty());
}

TEST(OpenStreamsTest, ACompletedStreamIsForgottenSoon)
{
  open_streams open({.completed_memory = 3s});
  open.start(stream_of(1));
  open.complete(id_of(1), start + 1s);
  open.forget_expired(start + 3s);
  EXPECT_EQ(open.size(), 1U);
  open.forget_expired(start + 4s);
  EXPECT_EQ(open.size(), 0U);
}

TEST(OpenStreamsTest, NoMoreStreamsAreKeptThanThereIsRoomFor)
{
  open_streams open({.max_streams = 1});
  EXPECT_TRUE(open.start(stream_of(1)));
  EXPECT_FALSE(open.start(stream_of(2)));
  EXPECT_TRUE(open.start(stream_of(1)));
}

RC_GTEST_PROP(OpenStreamsTest, OriginsAreTheSameAfterTheyHaveBeenStored,
              (const std::vector<std::pair<std::string, std::uint64_t>>& drawn))
{
  origins_by_version origins;
  for (const auto& [version, n] : drawn) {
    origins[{.service = "chat", .version = version}].insert(id_of(n));
  }
  RC_ASSERT(decode_stored_origins(encode_stored_origins(origins)) == origins);
}

TEST(OpenStreamsTest, AStoredObjectThatIsCutShortIsUnreadable)
{
  const boost::json::value cut = {
      {"origins", boost::json::array{{{"version", {"chat", "v1"}}, {"streams", "AAAA"}}}}};
  EXPECT_THROW((void)decode_stored_origins(cut), stream_origin_error);
  EXPECT_THROW((void)decode_stored_origins(nullptr), stream_origin_error);
}

} // namespace
} // namespace wisteriaflow::gateway
