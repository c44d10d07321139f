#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/event_splitter.h"

namespace wisteriaflow::gateway {
namespace {

TEST(EventSplitterTest, ReturnsWholeEventsWithTheirIds)
{
  event_splitter splitter;
  const auto events = splitter.feed("id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0], (stream_event{.bytes = "id: 4\ndata: a\n\n", .id = 4}));
  EXPECT_EQ(events[1].id, 5U);
}

TEST(EventSplitterTest, KeepsAnEventThatIsNotWhole)
{
  event_splitter splitter;
  EXPECT_TRUE(splitter.feed("id: 1\ndata: a\n").empty());
  EXPECT_EQ(splitter.pending_bytes(), 14U);
  EXPECT_EQ(splitter.feed("\n").size(), 1U);
  EXPECT_EQ(splitter.pending_bytes(), 0U);
}

TEST(EventSplitterTest, AcceptsLinesThatEndInCarriageReturn)
{
  event_splitter splitter;
  const auto events = splitter.feed("id: 1\r\ndata: a\r\n\r\n");
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].id, 1U);
}

TEST(EventSplitterTest, GivesNoIdToAnEventWithoutANumber)
{
  event_splitter splitter;
  EXPECT_EQ(splitter.feed("id: x\ndata: a\n\n").at(0).id, std::nullopt);
}

RC_GTEST_PROP(EventSplitterPropertyTest, SplitsTheSameEventsFromAnyChunks, ())
{
  const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
  event_splitter whole;
  const auto expected = whole.feed(text);
  event_splitter splitter;
  std::vector<stream_event> got;
  for (std::size_t begin = 0; begin < text.size();) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 6);
    for (auto& e : splitter.feed(std::string_view(text).substr(begin, n))) {
      got.push_back(e);
    }
    begin += n;
  }
  RC_ASSERT(got == expected);
}

} // namespace
} // namespace wisteriaflow::gateway
