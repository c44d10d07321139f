#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/member.h"

namespace wisteriaflow::membership {
namespace {

// Few values for each field, so that ties are frequent.
member random_member()
{
  member m{.key = endpoint_key("e")};
  m.incarnation = *rc::gen::inRange<std::uint64_t>(0, 3);
  m.state = *rc::gen::element(member_state::live, member_state::leaving, member_state::gone);
  if (*rc::gen::arbitrary<bool>()) {
    m.reclaim_at = from_unix_ms(*rc::gen::inRange(1, 4));
  }
  m.heartbeat = *rc::gen::inRange<std::uint64_t>(0, 3);
  m.attributes_revision = *rc::gen::inRange<std::uint64_t>(0, 3);
  m.attributes.address = *rc::gen::element<std::string>("a", "b");
  m.attributes.price_per_hour = *rc::gen::element(1.0, 2.0);
  return m;
}

RC_GTEST_PROP(MemberTest, JoinIsCommutative, ())
{
  const member a = random_member();
  const member b = random_member();
  RC_ASSERT(join(a, b) == join(b, a));
}

RC_GTEST_PROP(MemberTest, JoinIsAssociative, ())
{
  const member a = random_member();
  const member b = random_member();
  const member c = random_member();
  RC_ASSERT(join(join(a, b), c) == join(a, join(b, c)));
}

RC_GTEST_PROP(MemberTest, JoinIsIdempotent, ())
{
  const member a = random_member();
  const member b = random_member();
  RC_ASSERT(join(a, a) == a);
  RC_ASSERT(join(join(a, b), b) == join(a, b));
}

RC_GTEST_PROP(MemberTest, JoinNeverRevivesWithinAnIncarnation, ())
{
  const member a = random_member();
  const member b = random_member();
  const member joined = join(a, b);
  RC_ASSERT(std::pair(joined.incarnation, joined.state) >= std::pair(a.incarnation, a.state));
}

TEST(MemberTest, ANoticeWithoutAttributesKeepsTheKnownOnes)
{
  const auto known = endpoint_member("e");
  const auto notice = with_state(without_attributes(known), member_state::leaving);

  const auto joined = join(known, notice);

  EXPECT_EQ(joined.attributes, known.attributes);
  EXPECT_EQ(joined.state, member_state::leaving);
}

} // namespace
} // namespace wisteriaflow::membership
