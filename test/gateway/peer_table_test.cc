#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/peer_table.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const http::socket_address first{.host = "10.0.0.1", .port = 7};
const http::socket_address second{.host = "10.0.0.2", .port = 7};

class PeerTableTest : public testing::Test {
 protected:
  void receive_report(const char* id, const http::socket_address& at, mono_time now,
                      std::vector<daemon_contact> known_daemons = {})
  {
    peer_report report{.self = {.id = daemon_id(id), .peer_address = at}};
    report.known_daemons = std::move(known_daemons);
    peers_.on_report(report, now);
  }

  peer_table peers_{{.self = daemon_id("self"), .self_address = {.host = "10.0.0.9", .port = 7}}};
};

TEST_F(PeerTableTest, ADaemonIsLiveWhileItReports)
{
  receive_report("a", first, start);
  EXPECT_TRUE(peers_.is_live(daemon_id("a"), start + 1s));
  EXPECT_FALSE(peers_.is_live(daemon_id("a"), start + 2s));
}

TEST_F(PeerTableTest, ARegisteredDaemonCountsAsRunningBeforeItIsHeard)
{
  peers_.add_registered({first}, start);
  EXPECT_EQ(peers_.running_count(start + 10s), 2U);
  EXPECT_EQ(peers_.running_count(start + 30s), 1U);
}

TEST_F(PeerTableTest, ADaemonIsCountedOnceWhenARegisteredDaemonReports)
{
  peers_.add_registered({first}, start);
  receive_report("a", first, start);
  EXPECT_EQ(peers_.running_count(start), 2U);
}

TEST_F(PeerTableTest, AnEntryOfAStoppedDaemonDoesNotCountAgainWithEveryList)
{
  peers_.add_registered({first}, start);
  peers_.add_registered({first}, start + 30s);
  EXPECT_EQ(peers_.running_count(start + 31s), 1U);
}

TEST_F(PeerTableTest, ANewDaemonUsesTheNumberThatItsPeersObserve)
{
  peer_report report{.self = {.id = daemon_id("a"), .peer_address = first}, .running_daemons = 30};
  peers_.on_report(report, start);
  EXPECT_EQ(peers_.running_count(start), 30U);
  EXPECT_EQ(peers_.observed_running_count(start), 2U);
}

TEST_F(PeerTableTest, TheNumberThatPeersObserveIsUsedOnlyAfterTheStart)
{
  peer_report report{.self = {.id = daemon_id("a"), .peer_address = first}, .running_daemons = 30};
  peers_.on_report(report, start);
  peers_.on_report(report, start + 25s);
  EXPECT_EQ(peers_.running_count(start + 25s), 2U);
}

TEST_F(PeerTableTest, ASilentDaemonCountsAsRunningForAWhile)
{
  receive_report("a", first, start);
  EXPECT_EQ(peers_.running_count(start + 10s), 2U);
  EXPECT_EQ(peers_.running_count(start + 30s), 1U);
}

TEST_F(PeerTableTest, ADrainingDaemonIsNotCountedOnceItIsSilent)
{
  peers_.on_report({.self = {.id = daemon_id("a"), .peer_address = first, .leaving = true}}, start);
  EXPECT_EQ(peers_.running_count(start + 1s), 2U);
  EXPECT_EQ(peers_.running_count(start + 2s), 1U);
}

TEST_F(PeerTableTest, ADaemonThatAPeerOnlyListsIsNotLive)
{
  receive_report("a", first, start, {{.id = daemon_id("b"), .peer_address = second}});
  EXPECT_FALSE(peers_.is_live(daemon_id("b"), start));
  EXPECT_EQ(peers_.addresses_to_contact(start), (std::vector{second, first}));
}

TEST_F(PeerTableTest, AKnownDaemonIsLiveWhileAnotherSeesIt)
{
  receive_report("b", second, start);
  peer_report report{.self = {.id = daemon_id("a"), .peer_address = first},
                     .last_seen = {{.id = daemon_id("b"), .age = 200ms}}};
  peers_.on_report(report, start + 2s);
  EXPECT_TRUE(peers_.is_live(daemon_id("b"), start + 3s));
  EXPECT_FALSE(peers_.is_live(daemon_id("b"), start + 4s));
}

TEST_F(PeerTableTest, ListsTheMostRecentlySeenFirst)
{
  receive_report("a", first, start);
  receive_report("b", second, start + 1s);
  const std::vector<peer_last_seen> expected = {{.id = daemon_id("b"), .age = 500ms}};
  EXPECT_EQ(peers_.most_recently_seen(1, start + 1'500ms), expected);
}

TEST_F(PeerTableTest, KnowsWhetherAllLiveDaemonsHaveReported)
{
  receive_report("a", first, start);
  receive_report("b", second, start + 1s);
  EXPECT_TRUE(peers_.all_reported_since(start, start + 1s));
  EXPECT_FALSE(peers_.all_reported_since(start + 500ms, start + 1s));
  EXPECT_TRUE(peers_.all_reported_since(start + 500ms, start + 2s)); // "a" is no longer live
}

TEST_F(PeerTableTest, ADaemonBecomesKnownByARelayedStatement)
{
  const daemon_contact b{.id = daemon_id("b"), .peer_address = second, .ready = true};
  EXPECT_TRUE(peers_.on_relayed(b, start));
  EXPECT_EQ(peers_.live(start + 1s), std::vector{b});
  EXPECT_TRUE(peers_.live(start + 2s).empty());
}

TEST_F(PeerTableTest, TheMostRecentStatementCountsWhetherDirectOrRelayed)
{
  receive_report("b", second, start + 1s);
  EXPECT_FALSE(peers_.on_relayed({.id = daemon_id("b"), .leaving = true}, start));
  EXPECT_FALSE(peers_.live(start + 1s).front().leaving);
  EXPECT_TRUE(peers_.on_relayed({.id = daemon_id("b"), .leaving = true}, start + 1'200ms));
  EXPECT_TRUE(peers_.live(start + 1'500ms).front().leaving);
}

TEST_F(PeerTableTest, ARelayedStatementIsNoDirectReport)
{
  receive_report("b", second, start);
  peers_.on_relayed({.id = daemon_id("b")}, start + 1s);
  EXPECT_FALSE(peers_.all_reported_since(start + 500ms, start + 1s));
}

TEST_F(PeerTableTest, IgnoresRelayedStatementsAboutItself)
{
  EXPECT_FALSE(peers_.on_relayed({.id = daemon_id("self"), .leaving = true}, start));
}

TEST_F(PeerTableTest, ListsTheMostRecentStatements)
{
  receive_report("a", first, start);
  receive_report("b", second, start + 1s);
  const auto latest = peers_.most_recent(1, start + 1'200ms);
  ASSERT_EQ(latest.size(), 1U);
  EXPECT_EQ(latest.front().contact.id, daemon_id("b"));
  EXPECT_EQ(latest.front().as_of, start + 1s);
}

TEST_F(PeerTableTest, NeverContactsItself)
{
  peers_.add_address({.host = "10.0.0.9", .port = 7});
  EXPECT_TRUE(peers_.addresses_to_contact(start).empty());
}

TEST_F(PeerTableTest, AnAddressIsListedOnceWhenItsDaemonIsKnown)
{
  peers_.add_address(first);
  receive_report("a", first, start);
  peers_.add_address(first);
  EXPECT_EQ(peers_.addresses_to_contact(start), std::vector{first});
}

// Two tables that exchange the ages of the daemons that they know.
class PeerAgesTest : public testing::Test {
 protected:
  static peer_report report_of(const char* id, const peer_table& sender, mono_time now)
  {
    const http::socket_address address{.host = "10.0.0.1", .port = static_cast<std::uint16_t>(*id)};
    return {.self = {.id = daemon_id(id), .peer_address = address}, .ages = sender.ages(now)};
  }

  static void tell(peer_table& to, const char* id, mono_time now)
  {
    to.on_relayed({.id = daemon_id(id)}, now);
  }

  peer_table a_{{.self = daemon_id("a")}};
  peer_table b_{{.self = daemon_id("b")}};
};

TEST_F(PeerAgesTest, APeerThatKnowsTheSameDaemonsPassesAgesOn)
{
  for (const char* other : {"b", "c"}) {
    tell(a_, other, start);
  }
  for (const char* other : {"a", "c"}) {
    tell(b_, other, start);
  }
  tell(b_, "c", start + 5s);
  a_.on_report(report_of("b", b_, start + 6s), start + 6s);
  EXPECT_TRUE(a_.is_live(daemon_id("c"), start + 6s));
}

TEST_F(PeerAgesTest, ADaemonThatStoppedIsNotRevived)
{
  for (const char* other : {"b", "c"}) {
    tell(a_, other, start);
  }
  for (const char* other : {"a", "c"}) {
    tell(b_, other, start);
  }
  for (auto now = start; now < start + 5s; now += 100ms) {
    a_.on_report(report_of("b", b_, now), now);
    b_.on_report(report_of("a", a_, now), now);
  }
  EXPECT_FALSE(a_.is_live(daemon_id("c"), start + 2s));
}

// Guards against a limit on the ages in a report: the daemons beyond it would be considered silent.
TEST_F(PeerAgesTest, AReportHasTheAgesOfAThousandDaemons)
{
  std::vector<daemon_id> all;
  for (int i = 0; i < 1'000; ++i) {
    all.emplace_back("d" + std::to_string(i));
    b_.on_relayed({.id = all.back()}, start);
    a_.on_relayed({.id = all.back()}, start - 10s);
  }
  tell(a_, "b", start);
  tell(b_, "a", start);
  a_.on_report(report_of("b", b_, start), start);
  for (const auto& id : all) {
    EXPECT_TRUE(a_.is_live(id, start)) << id.value();
  }
}

TEST_F(PeerAgesTest, DaemonsThatAPeerLacksAreSentToIt)
{
  tell(a_, "c", start);
  a_.on_report(report_of("b", b_, start), start);
  const auto repaired = a_.contacts_to_repair(8, start);
  const auto is_c = [](const auto& it) { return it.contact.id == daemon_id("c"); };
  EXPECT_EQ(std::count_if(repaired.begin(), repaired.end(), is_c), 1);
}

TEST_F(PeerAgesTest, NothingIsRepairedWhereBothKnowTheSame)
{
  tell(a_, "b", start);
  tell(b_, "a", start);
  a_.on_report(report_of("b", b_, start), start);
  EXPECT_TRUE(a_.contacts_to_repair(8, start).empty());
}

TEST_F(PeerAgesTest, ALargeFleetWaitsLongerBeforeADaemonIsSilent)
{
  const auto small = a_.live_timeout();
  for (int i = 0; i < 511; ++i) {
    a_.on_relayed({.id = daemon_id("d" + std::to_string(i))}, start);
  }
  EXPECT_EQ(a_.live_timeout(), small + 800ms);
}

} // namespace
} // namespace wisteriaflow::gateway
