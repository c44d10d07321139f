#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/internal/news_board.h"

namespace wisteriaflow::membership::internal {
namespace {

// A board over a view that knows the live daemon "d2" and the leaving endpoint "e1".
class news_board_test : public testing::Test {
 protected:
  news_board_test()
  {
    view_.apply(daemon_member("d2"), at(0));
    view_.apply(with_state(endpoint_member("e1"), member_state::leaving), at(0));
  }

  void add(const member_key& key) { board_.add(*view_.find(key)); }

  membership_view view_ = view_of("d1");
  news_board board_{{.max_records = 2, .urgent_pushes = 2}, view_};
};

using NewsBoardTest = news_board_test; // NOLINT(readability-identifier-naming)

TEST_F(NewsBoardTest, PushesALeavingMemberAsOftenAsAsked)
{
  add(endpoint_key("e1"));
  EXPECT_EQ(board_.take_urgent(4).size(), 1U);
  EXPECT_EQ(board_.take_urgent(4).size(), 1U);
  EXPECT_FALSE(board_.has_urgent());
}

TEST_F(NewsBoardTest, ALiveMemberIsNotUrgent)
{
  add(daemon_key("d2"));
  EXPECT_FALSE(board_.has_urgent());
  EXPECT_EQ(board_.take().size(), 1U);
}

TEST_F(NewsBoardTest, ALeavingMemberTravelsWithoutItsAttributes)
{
  add(endpoint_key("e1"));
  const auto records = board_.take();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].attributes_revision, 0U);
}

TEST_F(NewsBoardTest, EndsNewsThatWasSentOftenEnough)
{
  add(daemon_key("d2"));
  int sends = 0;
  while (!board_.take().empty()) {
    ++sends;
  }
  EXPECT_EQ(sends, 3);
}

TEST_F(NewsBoardTest, ARemovedMemberIsNoLongerUrgent)
{
  add(endpoint_key("e1"));
  board_.remove(endpoint_key("e1"));
  EXPECT_FALSE(board_.has_urgent());
}

} // namespace
} // namespace wisteriaflow::membership::internal
