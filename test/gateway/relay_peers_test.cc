#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/relay_peers.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

class RelayPeersTest : public testing::Test {
 protected:
  static daemon_contact peer(const std::string& id, const std::string& zone = "a")
  {
    return {.id = daemon_id(id), .zone = availability_zone(zone), .ready = true};
  }

  // The id of the chosen peer; empty if there is none.
  std::string choose()
  {
    const auto choice = relays_.choose(live_, now_);
    const auto* chosen = std::get_if<daemon_contact>(&choice);
    return chosen == nullptr ? "" : chosen->id.value();
  }

  no_relay_peer why_none() { return std::get<no_relay_peer>(relays_.choose(live_, now_)); }

  relay_peers relays_{{.zone = availability_zone("a"), .seed = 1, .max_calls_per_peer = 3}};
  mono_time now_{1'000s};
  std::vector<daemon_contact> live_;
};

TEST_F(RelayPeersTest, SpreadsCallsEvenly)
{
  live_ = {peer("d1"), peer("d2", "b"), peer("d3", "b")};
  std::map<std::string, int> calls;
  for (int i = 0; i < 6; ++i) {
    const auto chosen = choose();
    relays_.on_started(daemon_id(chosen));
    ++calls[chosen];
  }
  EXPECT_EQ(calls, (std::map<std::string, int>{{"d1", 2}, {"d2", 2}, {"d3", 2}}));
}

TEST_F(RelayPeersTest, PrefersItsZoneAmongEquals)
{
  live_ = {peer("d1", "b"), peer("d2", "a"), peer("d3", "b")};
  EXPECT_EQ(choose(), "d2");
}

TEST_F(RelayPeersTest, UsesNoPeerThatIsCutOffLeavingOrNotReady)
{
  live_ = {peer("d1"), peer("d2"), peer("d3")};
  live_[0].cut_off = true;
  live_[1].leaving = true;
  live_[2].ready = false;
  EXPECT_EQ(why_none(), no_relay_peer::none);
}

TEST_F(RelayPeersTest, GivesNoPeerMoreThanItsBound)
{
  live_ = {peer("d1")};
  for (int i = 0; i < 3; ++i) {
    relays_.on_started(daemon_id("d1"));
  }
  EXPECT_EQ(why_none(), no_relay_peer::no_room);
  relays_.on_ended(daemon_id("d1"), relay_end::carried, now_);
  EXPECT_EQ(choose(), "d1");
}

TEST_F(RelayPeersTest, PausesAfterAPeerThatDidNotAnswer)
{
  live_ = {peer("d1")};
  relays_.on_started(daemon_id("d1"));
  relays_.on_ended(daemon_id("d1"), relay_end::no_answer, now_);
  EXPECT_EQ(why_none(), no_relay_peer::none);
  now_ += 1s;
  EXPECT_EQ(choose(), "d1");
}

TEST_F(RelayPeersTest, PausesAfterAPeerWithoutRoom)
{
  live_ = {peer("d1"), peer("d2")};
  relays_.on_started(daemon_id("d1"));
  relays_.on_ended(daemon_id("d1"), relay_end::refused, now_);
  EXPECT_EQ(choose(), "d2");
}

} // namespace
} // namespace wisteriaflow::gateway
