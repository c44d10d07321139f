#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {
namespace {

bool accept_any(const member&)
{
  return true;
}

TEST(ViewTest, KnowsItself)
{
  const auto view = view_of("d1");
  ASSERT_EQ(view.live_daemons().size(), 1U);
  EXPECT_EQ(view.live_daemons().front()->key.id, "d1");
}

TEST(ViewTest, AListedEndpointIsRoutable)
{
  auto view = view_of("d1");
  const std::vector<member> list = {endpoint_member("e1")};
  view.apply_list(list, at(0));
  EXPECT_TRUE(view.is_routable(endpoint_id{"e1"}));
  EXPECT_EQ(view.live_endpoints(accept_any).size(), 1U);
}

TEST(ViewTest, TheLaggingListDoesNotReviveALeavingEndpoint)
{
  auto view = view_of("d1");
  const std::vector<member> list = {endpoint_member("e1")};
  view.apply_list(list, at(0));
  view.mark_leaving(endpoint_key("e1"), at(30'000).wall, at(1));
  view.apply_list(list, at(2));
  EXPECT_FALSE(view.is_routable(endpoint_id{"e1"}));
}

TEST(ViewTest, ANoticeThatComesBeforeTheEndpointIsRemembered)
{
  auto view = view_of("d1");
  view.mark_leaving(endpoint_key("e1"), std::nullopt, at(0));
  const std::vector<member> list = {endpoint_member("e1")};
  view.apply_list(list, at(1));
  EXPECT_FALSE(view.is_routable(endpoint_id{"e1"}));
}

TEST(ViewTest, AListThatShowsAGoneEndpointDoesNotReviveItEvenAfterItIsForgotten)
{
  auto view = view_of("d1");
  const std::vector<member> list = {endpoint_member("e1")};
  view.apply_list(list, at(0));
  view.mark_leaving(endpoint_key("e1"), at(1000).wall, at(1));
  view.tick(at(10'000));
  view.tick(at(3'600'000));
  view.apply_list(list, at(3'600'001));
  EXPECT_FALSE(view.is_routable(endpoint_id{"e1"}));
}

TEST(ViewTest, ALeavingMemberIsGoneAfterItsReclaim)
{
  auto view = view_of("d1");
  view.apply(endpoint_member("e1"), at(0));
  view.mark_leaving(endpoint_key("e1"), at(1000).wall, at(0));
  view.tick(at(6000));
  EXPECT_EQ(view.find(endpoint_key("e1"))->state, member_state::gone);
}

TEST(ViewTest, ALeavingMemberWithoutAReclaimTimeIsGoneAfterALimit)
{
  auto view = view_of("d1");
  view.apply(endpoint_member("e1"), at(0));
  view.mark_leaving(endpoint_key("e1"), std::nullopt, at(0));
  view.tick(at(300'000));
  EXPECT_EQ(view.find(endpoint_key("e1"))->state, member_state::gone);
}

TEST(ViewTest, AGoneMemberIsForgotten)
{
  auto view = view_of("d1");
  view.apply(with_state(endpoint_member("e1"), member_state::gone), at(0));
  view.tick(at(600'000));
  EXPECT_EQ(view.find(endpoint_key("e1")), nullptr);
}

TEST(ViewTest, AForgottenMemberIsNotBroughtBackByAPeerThatForgetsLater)
{
  auto view = view_of("d1");
  auto gone = with_state(endpoint_member("e1"), member_state::gone);
  gone.reclaim_at = at(0).wall;
  view.apply(gone, at(600'000));
  EXPECT_EQ(view.find(endpoint_key("e1")), nullptr);
}

TEST(ViewTest, AnEndpointMissingFromTheListIsGone)
{
  auto view = view_of("d1");
  view.apply(endpoint_member("e1"), at(0));
  view.apply_list({}, at(59'999));
  EXPECT_TRUE(view.is_routable(endpoint_id{"e1"}));
  view.apply_list({}, at(60'000));
  EXPECT_EQ(view.find(endpoint_key("e1"))->state, member_state::gone);
}

TEST(ViewTest, AConnectionKeepsAnEndpointThatTheListLacks)
{
  auto view = view_of("d1");
  view.apply(endpoint_member("e1"), at(0));
  view.connect_succeeded(endpoint_key("e1"), at(50'000));
  view.apply_list({}, at(60'000));
  EXPECT_TRUE(view.is_routable(endpoint_id{"e1"}));
}

TEST(ViewTest, AnOutageOfTheListRemovesNoEndpoint)
{
  auto view = view_of("d1");
  view.apply(endpoint_member("e1"), at(0));
  view.tick(at(3'600'000));
  EXPECT_TRUE(view.is_routable(endpoint_id{"e1"}));
}

TEST(ViewTest, AnUnreachableEndpointIsALocalObservationAndRecoversByProbe)
{
  auto view = view_of("d1");
  view.apply(endpoint_member("e1"), at(0));
  const auto version = view.version();
  for (int i = 0; i < 3; ++i) {
    view.connect_failed(endpoint_key("e1"), at(1));
  }
  EXPECT_FALSE(view.is_routable(endpoint_id{"e1"}));
  EXPECT_EQ(view.version(), version) << "a local observation would be gossiped";
  view.connect_succeeded(endpoint_key("e1"), at(2));
  EXPECT_TRUE(view.is_routable(endpoint_id{"e1"}));
}

// A view of three other daemons, of which "d4" is silent.
class silent_daemon_test : public testing::Test {
 public:
  silent_daemon_test()
  {
    for (const auto* id : {"d2", "d3", "d4"}) {
      view.apply(daemon_member(id), at(0));
    }
  }

  void receive_heartbeat(const std::string& id, std::uint64_t counter, clock_reading now)
  {
    view.apply_heartbeat(membership_view::heartbeat_hash_of(daemon_member(id)), counter, now);
  }

  membership_view view = view_of("d1");
};

using SilentDaemonTest = silent_daemon_test; // NOLINT(readability-identifier-naming)

TEST_F(SilentDaemonTest, IsSuspectedThenGone)
{
  receive_heartbeat("d2", 2, at(25'000));
  receive_heartbeat("d3", 2, at(25'000));
  view.tick(at(30'000));
  EXPECT_TRUE(view.is_suspected(daemon_id{"d4"}));
  EXPECT_EQ(view.find(daemon_key("d4"))->state, member_state::live);
  receive_heartbeat("d2", 3, at(50'000));
  receive_heartbeat("d3", 3, at(50'000));
  view.tick(at(60'000));
  EXPECT_EQ(view.find(daemon_key("d4"))->state, member_state::gone);
}

TEST_F(SilentDaemonTest, IsNotOfferedToCallersOnceSuspected)
{
  view.tick(at(30'000));
  EXPECT_EQ(view.live_daemons().size(), 1U);
}

TEST_F(SilentDaemonTest, RecoversByAHeartbeat)
{
  view.tick(at(30'000));
  receive_heartbeat("d4", 2, at(30'001));
  EXPECT_FALSE(view.is_suspected(daemon_id{"d4"}));
}

TEST_F(SilentDaemonTest, AnUnchangedCounterIsNoSignOfLife)
{
  receive_heartbeat("d4", 1, at(29'000));
  view.tick(at(30'000));
  EXPECT_TRUE(view.is_suspected(daemon_id{"d4"}));
}

TEST_F(SilentDaemonTest, ADaemonWithoutContactToAMajorityDeclaresNoMemberGone)
{
  view.tick(at(3'600'000));
  EXPECT_EQ(view.find(daemon_key("d4"))->state, member_state::live);
  EXPECT_TRUE(view.is_suspected(daemon_id{"d4"}));
}

TEST_F(SilentDaemonTest, OverridesBeingGoneByAHigherIncarnation)
{
  view.apply(with_state(daemon_member("d4"), member_state::gone), at(1));
  view.apply(daemon_member("d4", "z1", 2), at(2));
  EXPECT_EQ(view.find(daemon_key("d4"))->state, member_state::live);
}

TEST(ViewTest, RaisesItsIncarnationWhenDeclaredGone)
{
  auto view = view_of("d1");
  view.apply(with_state(daemon_member("d1"), member_state::gone), at(1));
  EXPECT_EQ(view.self().incarnation, 2U);
  EXPECT_EQ(view.self().state, member_state::live);
}

TEST(ViewTest, AcceptsANoticeThatItIsLeaving)
{
  auto view = view_of("d1");
  auto notice = with_state(daemon_member("d1", "z1", 0), member_state::leaving);
  notice.reclaim_at = at(20'000).wall;
  view.apply(notice, at(1));
  EXPECT_EQ(view.self().state, member_state::leaving);
  EXPECT_TRUE(view.live_daemons().empty());
}

TEST(ViewTest, IsStillLeavingAfterItOverridesBeingGone)
{
  auto view = view_of("d1");
  view.mark_leaving(daemon_key("d1"), std::nullopt, at(0));
  view.apply(with_state(daemon_member("d1"), member_state::gone), at(1));
  EXPECT_EQ(view.self().state, member_state::leaving);
}

TEST(ViewTest, AnEditedLabelInTheListBeatsGossip)
{
  auto view = view_of("d1");
  auto m = endpoint_member("e1");
  view.apply_list(std::vector{m}, at(0));
  m.attributes.labels["tier"] = "gold";
  view.apply_list(std::vector{m}, at(1));
  EXPECT_EQ(view.find(m.key)->attributes.labels.at("tier"), "gold");
}

TEST(ViewTest, AnOldListDoesNotUndoAnEditReceivedFromAPeer)
{
  auto view = view_of("d1");
  const auto old = endpoint_member("e1");
  view.apply_list(std::vector{old}, at(0));
  auto edited = old;
  edited.attributes_revision = 2;
  edited.attributes.labels["tier"] = "gold";
  view.apply(edited, at(1));
  view.apply_list(std::vector{old}, at(2));
  EXPECT_TRUE(view.find(old.key)->attributes.labels.contains("tier"));
}

// A record of one of four members, live, leaving or gone.
member random_record()
{
  const auto i = *rc::gen::inRange(0, 4);
  member m = i < 2 ? daemon_member("d" + std::to_string(i + 2)) : //
                 endpoint_member("e" + std::to_string(i));
  m.incarnation = *rc::gen::inRange<std::uint64_t>(0, 3);
  m.state = *rc::gen::element(member_state::live, member_state::leaving, member_state::gone);
  if (m.state != member_state::live) {
    m.reclaim_at = at(*rc::gen::inRange(0, 5)).wall;
  }
  return m;
}

RC_GTEST_PROP(ViewTest, IsTheSameWhateverTheOrderOfUpdates, ())
{
  const auto records = *rc::gen::container<std::vector<member>>(rc::gen::exec(random_record));
  auto one = view_of("d1");
  auto other = view_of("d1");
  for (const member& m : records) {
    one.apply(m, at(1));
  }
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    other.apply(*it, at(1));
    other.apply(*it, at(1));
  }
  RC_ASSERT(one.hash() == other.hash());
}

RC_GTEST_PROP(ViewTest, NeverRevivesWithinAnIncarnation, ())
{
  auto view = view_of("d1");
  const auto gone = with_state(endpoint_member("e3"), member_state::gone);
  view.apply(gone, at(0));
  const auto records = *rc::gen::container<std::vector<member>>(rc::gen::exec(random_record));
  std::int64_t ms = 0;
  for (const member& m : records) {
    view.apply_list(std::vector{with_state(m, member_state::live)}, at(++ms));
    view.connect_succeeded(m.key, at(ms));
    view.tick(at(ms));
    RC_ASSERT(!view.is_routable(endpoint_id{"e3"}));
  }
}

} // namespace
} // namespace wisteriaflow::membership
