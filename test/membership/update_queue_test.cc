#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/internal/update_queue.h"

namespace wisteriaflow::membership::internal {
namespace {

// A queue for a view that contains the live daemon "d2" and the leaving endpoint "e1".
class update_queue_test : public testing::Test {
 protected:
  update_queue_test()
  {
    view_.apply(daemon_member("d2"), at(0));
    view_.apply(with_state(endpoint_member("e1"), member_state::leaving), at(0));
  }

  void add(const member_key& key) { queue_.add(*view_.find(key)); }

  membership_view view_ = view_of("d1");
  update_queue queue_{{.max_records = 2, .urgent_pushes = 2}, view_};
};

using UpdateQueueTest = update_queue_test; // NOLINT(readability-identifier-naming)

TEST_F(UpdateQueueTest, PushesALeavingMemberAsOftenAsConfigured)
{
  add(endpoint_key("e1"));
  EXPECT_EQ(queue_.take_urgent(4).size(), 1U);
  EXPECT_EQ(queue_.take_urgent(4).size(), 1U);
  EXPECT_FALSE(queue_.has_urgent());
}

TEST_F(UpdateQueueTest, ALiveMemberIsNotUrgent)
{
  add(daemon_key("d2"));
  EXPECT_FALSE(queue_.has_urgent());
  EXPECT_EQ(queue_.take().size(), 1U);
}

TEST_F(UpdateQueueTest, ALeavingMemberIsSentWithoutItsAttributes)
{
  add(endpoint_key("e1"));
  const auto records = queue_.take();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].attributes_revision, 0U);
}

TEST_F(UpdateQueueTest, RemovesAnUpdateThatWasSentOftenEnough)
{
  add(daemon_key("d2"));
  int sends = 0;
  while (!queue_.take().empty()) {
    ++sends;
  }
  EXPECT_EQ(sends, 3);
}

TEST_F(UpdateQueueTest, ARemovedMemberIsNoLongerUrgent)
{
  add(endpoint_key("e1"));
  queue_.remove(endpoint_key("e1"));
  EXPECT_FALSE(queue_.has_urgent());
}

} // namespace
} // namespace wisteriaflow::membership::internal
