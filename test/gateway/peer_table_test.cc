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
  peers_.add_registered(first, start);
  EXPECT_EQ(peers_.running_count(start + 10s), 2U);
  EXPECT_EQ(peers_.running_count(start + 30s), 1U);
}

TEST_F(PeerTableTest, ADaemonIsCountedOnceWhenARegisteredDaemonReports)
{
  peers_.add_registered(first, start);
  receive_report("a", first, start);
  EXPECT_EQ(peers_.running_count(start), 2U);
}

TEST_F(PeerTableTest, AnEntryOfAStoppedDaemonDoesNotCountAgainWithEveryList)
{
  peers_.add_registered(first, start);
  peers_.add_registered(first, start + 30s);
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

} // namespace
} // namespace wisteriaflow::gateway
