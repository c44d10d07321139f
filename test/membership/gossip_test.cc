#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/gossip.h"

namespace wisteriaflow::membership {
namespace {

// Daemons "d0", "d1", … whose messages are delivered at once, unless a daemon is cut off.
class small_fleet {
 public:
  explicit small_fleet(int n, std::uint64_t seed = 1)
  {
    for (int i = 0; i < n; ++i) {
      add(seed);
    }
  }

  // Adds a daemon that knows only "d0".
  void add(std::uint64_t seed)
  {
    const auto i = views_.size();
    views_.push_back(std::make_unique<membership_view>(view_of("d" + std::to_string(i))));
    views_.back()->apply(daemon_member("d0"), now_);
    gossipers_.push_back(std::make_unique<gossiper>(
        gossip_options{
            .seed = seed + i,
            .usage = {.self = daemon_id{"d" + std::to_string(i)}, .zone = availability_zone{"z1"}},
            .is_in_subset = [](const daemon_id&, const endpoint_id&) { return true; }},
        *views_.back(), now_));
  }

  void run_until(std::int64_t ms)
  {
    constexpr std::int64_t step_ms = 50;
    while (now_ms_ < ms) {
      now_ms_ += step_ms;
      now_ = at(now_ms_);
      for (std::size_t i = 0; i < views_.size(); ++i) {
        if (!cut_off_.contains(i)) {
          views_[i]->tick(now_);
          deliver(i, gossipers_[i]->tick(now_));
        }
      }
    }
  }

  void deliver(std::size_t from, std::vector<outgoing_gossip> messages)
  {
    for (const auto& m : messages) {
      const auto to = std::stoul(m.to.value().substr(1));
      if (cut_off_.contains(to)) {
        gossipers_[from]->send_failed(m.to, now_);
        continue;
      }
      auto response = gossipers_[to]->receive(m.message, now_);
      deliver(from, gossipers_[from]->receive_reply(response.reply, now_));
      deliver(to, std::move(response.pushes));
    }
  }

  [[nodiscard]] std::size_t distinct_hashes() const
  {
    std::set<std::uint64_t> found;
    for (const auto& view : views_) {
      found.insert(view->hash());
    }
    return found.size();
  }

  membership_view& view(std::size_t i) { return *views_.at(i); }
  gossiper& gossiper_of(std::size_t i) { return *gossipers_.at(i); }
  void cut_off(std::size_t i) { cut_off_.insert(i); }
  void reconnect(std::size_t i) { cut_off_.erase(i); }
  [[nodiscard]] clock_reading now() const { return now_; }

 private:
  std::vector<std::unique_ptr<membership_view>> views_;
  std::vector<std::unique_ptr<gossiper>> gossipers_;
  std::set<std::size_t> cut_off_;
  std::int64_t now_ms_ = 0;
  clock_reading now_ = at(0);
};

TEST(GossipTest, DaemonsThatKnowOneFindEachOther)
{
  small_fleet fleet(8);
  fleet.run_until(15'000);
  EXPECT_EQ(fleet.distinct_hashes(), 1U);
  EXPECT_EQ(fleet.view(5).live_daemons().size(), 8U);
}

TEST(GossipTest, ALeavingEndpointIsKnownEverywhereThoughTheFirstInformedDaemonEnds)
{
  small_fleet fleet(8);
  fleet.view(0).apply(endpoint_member("e1"), fleet.now());
  fleet.run_until(15'000);
  fleet.view(3).mark_leaving(endpoint_key("e1"), std::nullopt, fleet.now());
  fleet.deliver(3, fleet.gossiper_of(3).tick(fleet.now()));
  fleet.cut_off(3);
  fleet.run_until(16'000);
  for (std::size_t i = 0; i < 8; ++i) {
    EXPECT_FALSE(fleet.view(i).is_routable(endpoint_id{"e1"})) << "d" << i;
  }
}

TEST(GossipTest, PushesLocalUpdatesToMorePeersThanGossipedOnes)
{
  auto view = view_of("d1");
  for (int i = 2; i < 20; ++i) {
    view.apply(daemon_member("d" + std::to_string(i)), at(0));
  }
  gossiper g({.urgent_fanout = 3, .origin_fanout = 6, .usage = {.self = daemon_id{"d1"}}}, view,
             at(0));
  g.tick(at(0));
  view.mark_leaving(endpoint_key("e1"), std::nullopt, at(50));
  const auto is_urgent = [](const auto& m) { return m.message.kind == gossip_kind::urgent; };
  EXPECT_EQ(std::ranges::count_if(g.tick(at(50)), is_urgent), 6);
  EXPECT_EQ(std::ranges::count_if(g.tick(at(300)), is_urgent), 3);
}

TEST(GossipTest, ANewDaemonLearnsEveryMemberFromOnePeer)
{
  small_fleet fleet(2);
  for (int i = 0; i < 600; ++i) {
    fleet.view(0).apply(endpoint_member("e" + std::to_string(i)), fleet.now());
  }
  fleet.run_until(5000);
  fleet.add(7);
  fleet.run_until(8000);
  EXPECT_EQ(fleet.view(2).size(), 603U);
}

TEST(GossipTest, ADaemonThatWasPartitionedAndDeclaredGoneRejoins)
{
  small_fleet fleet(5);
  fleet.run_until(15'000);
  fleet.cut_off(4);
  fleet.run_until(120'000);
  ASSERT_EQ(fleet.view(0).find(daemon_key("d4"))->state, member_state::gone);
  fleet.reconnect(4);
  fleet.run_until(180'000);
  for (std::size_t i = 0; i < 5; ++i) {
    EXPECT_EQ(fleet.view(i).live_daemons().size(), 5U) << "d" << i;
  }
}

TEST(GossipTest, ViewsThatAgreeSendNoRecords)
{
  small_fleet fleet(4);
  fleet.run_until(60'000);
  for (std::int64_t ms = 60'000; ms < 62'000; ms += 50) {
    for (const auto& m : fleet.gossiper_of(1).tick(at(ms))) {
      EXPECT_TRUE(m.message.members.empty());
    }
  }
}

TEST(GossipTest, ReportsTheHighestConfigurationRevisionAndWhoHasIt)
{
  small_fleet fleet(3);
  fleet.gossiper_of(2).set_configuration(41, 7);
  fleet.run_until(10'000);
  EXPECT_EQ(fleet.gossiper_of(0).highest_configuration().revision, 41U);
  EXPECT_EQ(fleet.gossiper_of(0).highest_configuration().floor, 7U);
  EXPECT_EQ(fleet.gossiper_of(0).highest_configuration().holder, daemon_id{"d2"});
}

TEST(GossipTest, SendsALoadOnlyToPeersThatHoldTheEndpoint)
{
  auto view = view_of("d1");
  view.apply(daemon_member("d2"), at(0));
  gossiper g(
      {.usage = {.self = daemon_id{"d1"}},
       .is_in_subset = [](const daemon_id&, const endpoint_id& e) { return e.value() == "e1"; }},
      view, at(0));
  g.set_load({.endpoint = endpoint_id{"e1"}, .running = 3});
  g.set_load({.endpoint = endpoint_id{"e2"}, .running = 4});
  const auto messages = g.tick(at(2000));
  ASSERT_FALSE(messages.empty());
  ASSERT_EQ(messages[0].message.loads.size(), 1U);
  EXPECT_EQ(messages[0].message.loads[0].endpoint, endpoint_id{"e1"});
}

TEST(GossipTest, SumsUsageOverTheFleet)
{
  small_fleet fleet(4);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.gossiper_of(i).usage().set_local_usage(workspace_id{"w"}, 10, 1);
  }
  fleet.run_until(20'000);
  const auto usage = fleet.gossiper_of(2).usage().fleet_usage(workspace_id{"w"}, fleet.now().mono);
  ASSERT_TRUE(usage.has_value());
  EXPECT_DOUBLE_EQ(usage->tokens_per_second, 40);
}

RC_GTEST_PROP(GossipTest, ViewsConvergeWhateverUpdatesEachReceived, ())
{
  small_fleet fleet(4, *rc::gen::arbitrary<std::uint64_t>());
  fleet.run_until(5000);
  const auto events = *rc::gen::inRange(1, 12);
  for (int i = 0; i < events; ++i) {
    auto& view = fleet.view(*rc::gen::inRange<std::size_t>(0, 4));
    const auto id = "e" + std::to_string(*rc::gen::inRange(0, 5));
    if (*rc::gen::arbitrary<bool>()) {
      view.mark_leaving(endpoint_key(id), std::nullopt, fleet.now());
    } else {
      view.apply(endpoint_member(id), fleet.now());
    }
  }
  fleet.run_until(30'000);
  RC_ASSERT(fleet.distinct_hashes() == 1U);
}

} // namespace
} // namespace wisteriaflow::membership
