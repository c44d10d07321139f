#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "wisteriaflow/gateway/crash_report_codec.h"

namespace wisteriaflow::gateway {
namespace {

const crash_report report{
    .crashes = {{.process = {.id = endpoint_id("i-1"), .incarnation = 1'700'000'000'123},
                 .at = from_unix_ms(1'796'000'000'000),
                 .suspects = {{content_id{.hash = {.high = 1, .low = ~std::uint64_t{0}}},
                               {.stage = answer_stage::started}},
                              {content_id{.hash = {.high = 2, .low = 3}}, {}},
                              {content_id{.hash = {.high = 2, .low = 4}},
                               {.progress = {.position = 7, .time = std::chrono::seconds(2)},
                                .outlived_by = answer_progress{.position = 9}}},
                              {prompt_part_id{7}, {.depth = 2}},
                              {prompt_part_id{9}, {.depth = 1, .refuted = true}}}}},
    .answered = {{content_id{.hash = {.high = 5, .low = 6}}, from_unix_ms(1'796'000'000'001)},
                 {prompt_part_id{8}, from_unix_ms(1'796'000'000'002)}}};

TEST(CrashCodecTest, DecodesWhatItEncoded)
{
  const auto text = boost::json::serialize(encode_crash_report(report));
  EXPECT_EQ(decode_crash_report(boost::json::parse(text)), report);
}

// Guards against a content that is cleared because its report, of a daemon of an earlier version,
// does not say how far it had come.
TEST(CrashCodecTest, TakesAnAnswerOfUnknownProgressForOneThatMayHaveComeFar)
{
  const auto decoded = decode_crash_report(boost::json::parse(R"({
    "crashes": [{"endpoint": "i-1", "incarnation": 1, "at": 1796000000000,
                 "suspects": {"00000000000000000000000000000001": true,
                              "00000000000000000000000000000002": false}}],
    "answered": {}})"));
  const auto& suspects = decoded.crashes.at(0).suspects;
  EXPECT_FALSE(suspects.at(content_id{.hash = {.low = 1}}).progress.is_known());
  EXPECT_EQ(suspects.at(content_id{.hash = {.low = 2}}).progress, answer_progress());
}

TEST(CrashCodecTest, RejectsInvalidReports)
{
  for (const auto* text : {"null", "[]", "{}", R"({"crashes":[],"answered":[]})",
                           R"({"crashes":[{"endpoint":"i"}],"answered":{}})",
                           R"({"crashes":[],"answered":{"x":1}})"}) {
    EXPECT_THROW(decode_crash_report(boost::json::parse(text)), crash_report_error) << text;
  }
}

} // namespace
} // namespace wisteriaflow::gateway
