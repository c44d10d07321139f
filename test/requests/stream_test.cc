#include <string>
#include <vector>

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/requests/completion_render.h"
#include "wisteriaflow/requests/errors.h"
#include "wisteriaflow/requests/move_choice.h"
#include "wisteriaflow/requests/sse_parser.h"
#include "wisteriaflow/requests/stream_assembler.h"

namespace wisteriaflow::requests {
namespace {

const std::string engine_stream =
    "data: {\"choices\":[{\"index\":0,\"text\":\"one \"}],\"offset\":0}\n\n"
    ": a comment\r\n"
    "data: {\"choices\":[{\"index\":0,\"text\":\"two\"}],\"offset\":1}\r\n\r\n"
    "data: {\"choices\":[{\"index\":0,\"text\":\"!\",\"finish_reason\":\"stop\"}],\"offset\":2,"
    "\"usage\":{\"prompt_tokens\":4,\"recomputed_tokens\":1}}\n\n"
    "data: [DONE]\n\n";

std::vector<engine_event> events_of_engine_stream()
{
  return {engine_token{0, "one "}, engine_token{1, "two"}, engine_token{2, "!"},
          engine_finish{3, "stop", {.prompt_tokens = 4, .recomputed_tokens = 1}},
          engine_stream_end{}};
}

TEST(StreamAssemblerTest, PutsReorderedTokensInOrder)
{
  stream_assembler it;
  EXPECT_EQ(it.accept(1, "b"), token_result::buffered);
  EXPECT_EQ(it.accept(0, "a"), token_result::appended);
  EXPECT_EQ(it.text(), "ab");
}

TEST(StreamAssemblerTest, DropsADuplicateOffset)
{
  stream_assembler it;
  it.accept(0, "a");
  EXPECT_EQ(it.accept(0, "a"), token_result::duplicate);
  EXPECT_EQ(it.next_offset(), 1U);
}

TEST(StreamAssemblerTest, ReportsAGapWiderThanItsWindow)
{
  stream_assembler it(2);
  it.accept(1, "b");
  it.accept(2, "c");
  EXPECT_EQ(it.accept(3, "d"), token_result::gap_too_wide);
}

RC_GTEST_PROP(SseParserTest, ReadsTheSameEventsWhereverTheChunksAreCut, ())
{
  sse_parser parser;
  std::vector<engine_event> got;
  std::string_view rest = engine_stream;
  while (!rest.empty()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
    const auto events = parser.feed(rest.substr(0, n));
    got.insert(got.end(), events.begin(), events.end());
    rest.remove_prefix(n);
  }
  RC_ASSERT(got == events_of_engine_stream());
}

TEST(SseParserTest, RefusesAnEventOverItsLimit)
{
  sse_parser parser(64);
  EXPECT_THROW(parser.feed("data: " + std::string(100, 'x')), stream_error);
}

TEST(SseParserTest, RefusesMalformedJson)
{
  sse_parser parser;
  EXPECT_THROW(parser.feed("data: {\"choices\"\n\n"), stream_error);
}

TEST(SseParserTest, RefusesATokenWithoutOffset)
{
  sse_parser parser;
  EXPECT_THROW(parser.feed("data: {\"choices\":[{\"text\":\"a\"}]}\n\n"), stream_error);
}

TEST(SseParserTest, ReportsAnErrorEvent)
{
  sse_parser parser;
  EXPECT_THROW(parser.feed("event: error\ndata: {}\n\n"), stream_error);
}

TEST(CompletionRenderTest, RendersEventsThatTheParserReads)
{
  sse_parser parser;
  const auto got = parser.feed(render_token_event(0, "a\n\"b\"") +
                               render_final_events("stop", {.completion_tokens = 1}));
  EXPECT_EQ(got, (std::vector<engine_event>{engine_token{0, "a\n\"b\""},
                                            engine_finish{1, "stop", {.completion_tokens = 1}},
                                            engine_stream_end{}}));
}

TEST(CompletionRenderTest, GivesEachTokenItsOffsetAsId)
{
  EXPECT_TRUE(render_token_event(17, "x").starts_with("id: 17\n"));
}

TEST(CompletionRenderTest, EndsAnIncompleteStreamWithTheOutcome)
{
  EXPECT_EQ(render_error_event(outcome_unknown{}, {}).rfind("event: error\ndata: {\"error\"", 0),
            0U);
}

TEST(CompletionRenderTest, RendersACompleteAnswer)
{
  const auto body =
      boost::json::parse(render_completion_response({.request_id = "r",
                                                     .model = "m",
                                                     .text = "ab",
                                                     .finish_reason = "stop",
                                                     .usage = {.completion_tokens = 2}}));
  EXPECT_EQ(body.at("choices").at(0).at("text").as_string(), "ab");
  EXPECT_EQ(body.at("usage").at("completion_tokens").to_number<int>(), 2);
}

// A reclaim notice of one second; 1000 tokens are in the KV cache and 1000 are still to generate.
move_estimate estimate_with(double decode_rate, double transfer_rate, double prefill_rate)
{
  return {.reclaim_at = mono_time{std::chrono::seconds(1)},
          .kv_tokens = 1000,
          .remaining_tokens = 1000,
          .decode_rate = decode_rate,
          .transfer_rate = transfer_rate,
          .prefill_rate = prefill_rate};
}

TEST(MoveChoiceTest, StaysIfTheRestFitsIntoTheNotice)
{
  EXPECT_EQ(choose_move(estimate_with(2000, 1e6, 1e6), true, {}), move_choice::stay);
}

TEST(MoveChoiceTest, MovesTheCacheWhereThatIsCheaper)
{
  EXPECT_EQ(choose_move(estimate_with(10, 1e4, 2e3), true, {}), move_choice::move_kv);
}

TEST(MoveChoiceTest, ReplaysWhereThatIsCheaper)
{
  EXPECT_EQ(choose_move(estimate_with(10, 2e3, 1e4), true, {}), move_choice::replay);
}

TEST(MoveChoiceTest, ReplaysIfTheMoveDoesNotFit)
{
  EXPECT_EQ(choose_move(estimate_with(10, 1000, 10), true, {}), move_choice::replay);
}

TEST(MoveChoiceTest, NeverReplaysANonIdempotentGeneration)
{
  EXPECT_EQ(choose_move(estimate_with(10, 1000, 1e6), false, {}), move_choice::stay);
}

} // namespace
} // namespace wisteriaflow::requests
