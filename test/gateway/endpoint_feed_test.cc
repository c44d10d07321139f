#include <gtest/gtest.h>

#include "wisteriaflow/gateway/endpoint_feed.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
constexpr std::size_t all = 1'000; // more records than any test has

endpoint_record record(const char* id, std::uint64_t revision, bool leaving = false)
{
  return {.id = endpoint_id(id),
          .revision = revision,
          .service = "chat",
          .address = {.host = "10.0.0.1", .port = 80},
          .leaving = leaving};
}

class EndpointFeedTest : public testing::Test {
 protected:
  // Both daemons have read the store at revision 10, where it contained endpoint "a".
  EndpointFeedTest()
  {
    for (auto* feed : {&reader_, &follower_}) {
      feed->update(record("a", 5));
      feed->on_list({{endpoint_id("a"), record("a", 5)}}, 10, start);
    }
  }

  feed_action exchange_view(mono_time asked_at)
  {
    return follower_.on_peer_view(reader_.view(asked_at), asked_at);
  }

  endpoint_feed reader_{{.max_leaving_delay = 2s, .seed = 1}};
  endpoint_feed follower_{{.max_leaving_delay = 2s, .seed = 2}};
};

TEST_F(EndpointFeedTest, ReadIsDueInitially)
{
  EXPECT_TRUE(endpoint_feed({}).is_read_due(start));
}

TEST_F(EndpointFeedTest, ReadIsDueWellBeforeMaxLeavingDelay)
{
  EXPECT_FALSE(follower_.is_read_due(start + 1'000ms));
  EXPECT_TRUE(follower_.is_read_due(start + 1'200ms));
}

TEST_F(EndpointFeedTest, AReadIsDueAtOnceWhenAPeerHasReadARestoredStore)
{
  reader_.on_list({{endpoint_id("a"), record("a", 5)}}, {1, 3}, start + 100ms);
  EXPECT_EQ(exchange_view(start + 200ms), feed_action::nothing);
  EXPECT_EQ(follower_.revision(), store_revision(10));
  EXPECT_TRUE(follower_.is_read_due(start + 200ms));
}

TEST_F(EndpointFeedTest, AListOfARestoredStoreReplacesAViewOfAHigherNumber)
{
  follower_.on_list({{endpoint_id("a"), record("a", 5)}}, {1, 3}, start + 100ms);
  EXPECT_EQ(follower_.revision(), store_revision(1, 3));
}

TEST_F(EndpointFeedTest, ReadOfAReaderIsDueInHalfTheTime)
{
  reader_.set_reader(true);
  reader_.on_read(11, start + 10ms);
  EXPECT_FALSE(reader_.is_read_due(start + 500ms));
  EXPECT_TRUE(reader_.is_read_due(start + 610ms));
}

TEST_F(EndpointFeedTest, AReadByAPeerPostponesTheOwn)
{
  reader_.on_read(20, start + 500ms);
  EXPECT_EQ(exchange_view(start + 550ms), feed_action::nothing);
  EXPECT_EQ(follower_.revision(), 20U);
  EXPECT_FALSE(follower_.is_read_due(start + 1'500ms));
}

TEST_F(EndpointFeedTest, HeartbeatsAreNotChanges)
{
  reader_.update(record("a", 15));
  reader_.on_read(20, start + 500ms);
  EXPECT_EQ(exchange_view(start + 550ms), feed_action::nothing);
  EXPECT_TRUE(reader_.changes_after(10, all, start + 550ms).records.empty());
}

TEST_F(EndpointFeedTest, FetchesChangesBeforeAdoptingThePeersView)
{
  reader_.update(record("a", 15, true));
  reader_.update(record("b", 16));
  reader_.on_read(20, start + 500ms);
  EXPECT_EQ(exchange_view(start + 550ms), feed_action::fetch);
  EXPECT_EQ(follower_.revision(), 10U);
  const auto changes = reader_.changes_after(10, all, start + 560ms);
  EXPECT_EQ(changes.records, (std::vector{record("a", 15, true), record("b", 16)}));
  for (const auto& r : changes.records) {
    follower_.update(r);
  }
  follower_.on_fetched(changes, 10, start + 560ms);
  EXPECT_EQ(follower_.revision(), 20U);
  EXPECT_EQ(follower_.changes_after(10, all, start + 600ms).records, changes.records);
}

TEST_F(EndpointFeedTest, DeparturesAreUpToDateWithoutTheDescriptions)
{
  reader_.update(record("b", 16));
  reader_.on_read(20, start + 1s);
  EXPECT_EQ(exchange_view(start + 1'100ms), feed_action::fetch);
  EXPECT_EQ(follower_.revision(), 10U);
  EXPECT_EQ(follower_.departures_age(start + 1'100ms), 100ms);
  EXPECT_FALSE(follower_.is_read_due(start + 2s));
}

TEST_F(EndpointFeedTest, DescriptionsAreReadEventuallyIfNoPeerSendsThem)
{
  for (int i = 1; i <= 6; ++i) {
    reader_.update(record("b", 10 + static_cast<std::uint64_t>(i)));
    reader_.on_read(20 + static_cast<std::uint64_t>(i), start + i * 1s);
    EXPECT_EQ(exchange_view(start + i * 1s), feed_action::fetch);
  }
  EXPECT_TRUE(follower_.is_read_due(start + 6s));
}

TEST_F(EndpointFeedTest, DoesNotAdoptDeparturesThatThePeerListsFromALaterPosition)
{
  for (int i = 1; i <= 4; ++i) {
    reader_.on_read(10 + static_cast<std::uint64_t>(i), start + i * 1s);
  }
  const auto view = reader_.view(start + 4s); // lists the departures of the last second
  EXPECT_GT(view.departures_after, 10U);
  EXPECT_LT(view.departures_after, 14U);
  static_cast<void>(follower_.on_peer_view(
      {.departures_revision = view.departures_revision, .departures_after = view.departures_after},
      start + 4s));
  EXPECT_EQ(follower_.departures_age(start + 4s), 4s);
}

TEST_F(EndpointFeedTest, IsOutdatedOnceItsKnowledgeIsOldAndAPeersIsNot)
{
  EXPECT_FALSE(follower_.is_outdated(start + 10s)); // no peer knows better
  const endpoint_view listed_anew{.departures_revision = 30, .departures_after = 30};
  static_cast<void>(follower_.on_peer_view(listed_anew, start + 1s));
  EXPECT_FALSE(follower_.is_outdated(start + 1'500ms)); // not old yet
  static_cast<void>(follower_.on_peer_view(listed_anew, start + 1'500ms));
  EXPECT_TRUE(follower_.is_outdated(start + 1'700ms));
  follower_.on_read(30, start + 1'700ms);
  EXPECT_FALSE(follower_.is_outdated(start + 1'700ms));
}

TEST_F(EndpointFeedTest, ManyChangesAreFetchedInSeveralAnswers)
{
  for (const auto* id : {"b", "c", "d"}) {
    reader_.update(record(id, static_cast<std::uint64_t>(16 + id[0] - 'b')));
  }
  reader_.on_read(20, start + 500ms);
  const auto first = reader_.changes_after(10, 2, start + 500ms);
  EXPECT_FALSE(first.is_complete);
  EXPECT_EQ(first.records, (std::vector{record("b", 16), record("c", 17)}));
  follower_.on_fetched(first, 10, start + 500ms);
  EXPECT_EQ(follower_.revision(), 17U);
  EXPECT_EQ(follower_.view(start + 500ms).age, 500ms);
  const auto rest = reader_.changes_after(17, 2, start + 500ms);
  EXPECT_TRUE(rest.is_complete);
  follower_.on_fetched(rest, 17, start + 500ms);
  EXPECT_EQ(follower_.revision(), 20U);
  EXPECT_EQ(follower_.view(start + 500ms).age, 0ms);
}

TEST_F(EndpointFeedTest, RemovesEndpointsThatAreNotRetained)
{
  reader_.update(record("b", 16));
  reader_.retain({});
  EXPECT_TRUE(reader_.changes_after(0, all, start).records.empty());
}

TEST_F(EndpointFeedTest, DoesNotAdoptTheViewOfADaemonThatMissedARemoval)
{
  // Endpoint "a" was removed at revision 15; a daemon that starts afterwards lists the rest.
  endpoint_feed started({.max_leaving_delay = 2s, .seed = 3});
  started.update(record("b", 16));
  started.on_list({{endpoint_id("b"), record("b", 16)}}, 20, start + 500ms);
  const auto view = started.view(start + 500ms);
  EXPECT_EQ(follower_.on_peer_view(view, start + 500ms), feed_action::nothing);
  follower_.on_fetched({.view = view}, 10, start + 500ms);
  EXPECT_EQ(follower_.revision(), 10U);
  follower_.on_read(20, start + 600ms);
  started.on_read(25, start + 700ms);
  EXPECT_EQ(follower_.on_peer_view(started.view(start + 700ms), start + 700ms),
            feed_action::nothing);
  EXPECT_EQ(follower_.revision(), 25U);
}

TEST_F(EndpointFeedTest, AnEndpointThatReturnsUnchangedIsAChange)
{
  reader_.on_departure({.id = endpoint_id("a"), .revision = 5});
  reader_.update(record("a", 15));
  reader_.on_read(20, start + 500ms);
  EXPECT_EQ(exchange_view(start + 550ms), feed_action::fetch);
}

TEST_F(EndpointFeedTest, AFetchedDescriptionIsPassedOnEvenIfUnchangedHere)
{
  follower_.update_from_peer(record("a", 15));
  EXPECT_EQ(follower_.changes_after(10, all, start).records, std::vector{record("a", 15)});
  EXPECT_EQ(follower_.view(start).changed, 15U);
}

TEST_F(EndpointFeedTest, ADelayedAnswerDoesNotMakeTheViewFresh)
{
  reader_.on_read(20, start + 500ms);
  const auto view = reader_.view(start + 2'500ms);
  EXPECT_EQ(follower_.on_peer_view(view, start + 2'500ms), feed_action::nothing);
  EXPECT_TRUE(follower_.is_read_due(start + 2'500ms));
}

TEST_F(EndpointFeedTest, DoesNotAdoptAViewAcrossAGapThatMayHideDepartures)
{
  reader_.on_read(20, start + 61s);
  EXPECT_EQ(exchange_view(start + 61s), feed_action::nothing);
  EXPECT_EQ(follower_.revision(), 10U);
}

TEST_F(EndpointFeedTest, DoesNotAdoptAnEmptyView)
{
  EXPECT_EQ(follower_.on_peer_view({}, start + 500ms), feed_action::nothing);
  follower_.on_fetched({}, 10, start + 500ms);
  EXPECT_TRUE(follower_.is_read_due(start + 1'200ms));
}

TEST_F(EndpointFeedTest, DoesNotAdoptAViewBeforeItsFirstRead)
{
  endpoint_feed fresh({.max_leaving_delay = 2s});
  EXPECT_EQ(fresh.on_peer_view(reader_.view(start), start), feed_action::nothing);
  EXPECT_EQ(fresh.revision(), 0U);
}

TEST_F(EndpointFeedTest, ChangesAfterALaterRevisionThanTheOwnDoNotCloseTheGap)
{
  reader_.on_read(20, start + 500ms);
  follower_.on_fetched({.view = reader_.view(start + 500ms)}, 12, start + 500ms);
  EXPECT_EQ(follower_.revision(), 10U);
}

TEST_F(EndpointFeedTest, InAFleetOnlyTheReadersRead)
{
  // Each daemon gets the view of the last reader within 400 ms.
  std::vector<endpoint_feed> fleet;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    fleet.emplace_back(endpoint_feed_options{.max_leaving_delay = 2s, .seed = seed});
    fleet.back().set_reader(seed < 3);
    fleet.back().on_read(1, start);
  }
  int reads = 0;
  int reads_of_others = 0;
  const endpoint_feed* latest = nullptr;
  for (int step = 1; step <= 600; ++step) {
    const auto now = start + step * 100ms;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet[i].is_read_due(now)) {
        fleet[i].on_read(1, now);
        latest = &fleet[i];
        ++reads;
        reads_of_others += i < 3 ? 0 : 1;
      }
    }
    for (auto& feed : fleet) {
      if (latest != nullptr && step % 4 == 0) {
        static_cast<void>(feed.on_peer_view(latest->view(now), now));
      }
    }
  }
  EXPECT_LE(reads, 60 * 5); // without gossip each would read about once a second: 1,200
  EXPECT_GE(reads, 60);
  EXPECT_LE(reads_of_others, 10);
}

// All daemons of a large fleet read the store in the same second once the readers were late, and
// its link was full of answers that came too late.
TEST_F(EndpointFeedTest, OnceTheViewsStopFewDaemonsOfALargeFleetAreDue)
{
  int due = 0;
  for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
    endpoint_feed member({.max_leaving_delay = 2s, .seed = seed});
    member.set_min_read_interval(60s);
    member.on_read(10, start);
    due += member.is_read_due(start + 3s) ? 1 : 0;
  }
  EXPECT_GT(due, 0);
  EXPECT_LE(due, 60);
}

// When hundreds of endpoints leave at once, each entry changes with every heartbeat, and there are
// more changes than answers of the store can contain. If a daemon takes each answer for complete,
// it considers its view fresh for seconds, and so do all its peers: with 3,002 endpoints,
// one got calls 4.5 s after it had stated that it was leaving.
TEST_F(EndpointFeedTest, APartialReadDoesNotMakeTheViewFresher)
{
  reader_.on_read(10, start);
  const auto due = reader_.next_read_at();
  reader_.on_partial_read(15);
  EXPECT_EQ(reader_.revision(), 15U);
  EXPECT_EQ(reader_.next_read_at(), due);
  EXPECT_EQ(reader_.view(start + 300ms).age, 300ms);
}

} // namespace
} // namespace wisteriaflow::gateway
