#include <array>
#include <deque>
#include <utility>

#include <gtest/gtest.h>

#include "claims/fake_claim_store.h"
#include "wisteriaflow/claims/claim_shard_owner.h"
#include "wisteriaflow/claims/shard_map.h"

namespace wisteriaflow::claims {
namespace {

using std::chrono::milliseconds;

// One or two owners over a fake store that answers at once, unless it is told to fail a call.
class ClaimShardOwnerTest : public ::testing::Test {
 public:
  claim_shard_owner owner{{.self = daemon_id("a"), .settings = settings(), .seed = 1}};
  claim_shard_owner other{{.self = daemon_id("b"), .settings = settings(), .seed = 2}};
  fake_claim_store store;
  clock_reading now{.wall = from_unix_ms(1'800'000'000'000)};
  std::vector<send_reply> replies;
  std::vector<store_call> open; // calls that `hold_calls` keeps back
  bool hold_calls = false;

  static claim_settings settings()
  {
    return {.max_tail_entries = 2, .merge_segments = 3, .max_pending = 4};
  }

  void give(claim_shard_owner& to, const owner_event& event)
  {
    std::deque<owner_event> events{event};
    while (!events.empty()) {
      for (const auto& action : to.handle(events.front(), now)) {
        if (const auto* reply = std::get_if<send_reply>(&action)) {
          replies.push_back(*reply);
        } else if (const auto& call = std::get<store_call>(action); hold_calls) {
          open.push_back(call);
        } else {
          events.emplace_back(store_answer{.id = call.id, .result = store.apply(call)});
        }
      }
      events.pop_front();
    }
  }

  void pass(milliseconds time)
  {
    now.mono += time;
    now.wall += time;
    give(owner, tick{});
  }

  [[nodiscard]] claim_request request_of(std::uint64_t key, std::uint64_t nonce) const
  {
    return {.key = {.high = key, .low = key},
            .body_hash = key,
            .created = now.wall,
            .executor = daemon_id("x" + std::to_string(nonce)),
            .nonce = nonce};
  }

  // Asks, waits for a flush and returns the last reply.
  claim_reply ask(claim_shard_owner& to, const claim_request& request)
  {
    give(to, claim_asked{.token = request.nonce, .request = request});
    now.mono += settings().flush_interval;
    give(to, tick{});
    return replies.empty() ? claim_reply{} : replies.back().reply;
  }

  void own() { give(owner, ownership_desired{true}); }

  // Starts a claim whose update is on its way to the store.
  void start_update(const claim_request& request)
  {
    now.mono += settings().flush_interval;
    hold_calls = true;
    give(owner, claim_asked{.token = request.nonce, .request = request});
    hold_calls = false;
  }
};

TEST_F(ClaimShardOwnerTest, GrantsOnlyOnceTheUpdateHasLanded)
{
  own();
  start_update(request_of(1, 10));
  ASSERT_EQ(open.size(), 1U);
  EXPECT_TRUE(replies.empty()) << "granted before the update landed";
  give(owner, store_answer{.id = open[0].id, .result = store.apply(open[0])});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, PausesBetweenTakeoversThatAllMeetAConflict)
{
  hold_calls = true;
  own();
  give(owner, claim_asked{.token = 10, .request = request_of(1, 10)});
  int calls = 0;
  for (int step = 0; step < 40; ++step) {
    for (const auto& c : std::exchange(open, {})) {
      ++calls;
      const bool reads = std::holds_alternative<read_tail>(c.operation);
      give(owner,
           store_answer{.id = c.id, .result = reads ? store_result(tail_value{}) : conflict{}});
    }
    pass(milliseconds(25));
  }
  EXPECT_LE(calls, 12); // of a second; without a pause it is one in every step
  ASSERT_EQ(replies.size(), 1U) << "the claim waits for a takeover that does not come";
  EXPECT_EQ(replies[0].reply.result, claim_result::unavailable);
}

TEST_F(ClaimShardOwnerTest, GrantsTheSameNonceAgain)
{
  own();
  const auto request = request_of(1, 10);
  EXPECT_EQ(ask(owner, request).result, claim_result::granted);
  EXPECT_EQ(ask(owner, request).result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, NamesTheHolderOfADuplicate)
{
  own();
  ask(owner, request_of(1, 10));
  const claim_reply expected{
      .result = claim_result::duplicate, .executor = daemon_id("x10"), .nonce = 10};
  EXPECT_EQ(ask(owner, request_of(1, 11)), expected);
}

TEST_F(ClaimShardOwnerTest, RefusesAKeyWithAnotherBody)
{
  own();
  ask(owner, request_of(1, 10));
  auto other_body = request_of(1, 11);
  other_body.body_hash = 99;
  EXPECT_EQ(ask(owner, other_body).result, claim_result::body_mismatch);
}

TEST_F(ClaimShardOwnerTest, MovesAClaimThatWasNotRun)
{
  own();
  ask(owner, request_of(1, 10));
  auto replacing = request_of(1, 11);
  replacing.replaces_nonce = 10;
  EXPECT_EQ(ask(owner, replacing).result, claim_result::granted);
  EXPECT_EQ(ask(owner, request_of(1, 12)).nonce, 11U);
}

TEST_F(ClaimShardOwnerTest, RefusesAKeyOlderThanRetention)
{
  own();
  auto old = request_of(1, 10);
  old.created = now.wall - settings().retention - milliseconds{1};
  EXPECT_EQ(ask(owner, old).result, claim_result::too_old);
}

TEST_F(ClaimShardOwnerTest, RemembersThroughSegmentsMergesAndTakeover)
{
  own();
  const std::uint64_t keys = 40;
  for (std::uint64_t key = 1; key <= keys; ++key) {
    ASSERT_EQ(ask(owner, request_of(key, 100 + key)).result, claim_result::granted) << key;
  }
  give(other, ownership_desired{true});
  for (std::uint64_t key = 1; key <= keys; ++key) {
    EXPECT_EQ(ask(other, request_of(key, 200 + key)).nonce, 100 + key) << "key " << key;
  }
  EXPECT_LE(store.tail(0)->segments.size(), 10U) << "segments are not merged";
}

TEST_F(ClaimShardOwnerTest, ForgetsSegmentsPastRetentionAndNeverGrantsTheirKeys)
{
  own();
  const auto first = request_of(1, 10);
  for (std::uint64_t key = 1; key <= 4; ++key) {
    ask(owner, request_of(key, 10 * key));
  }
  pass(settings().retention + settings().skew_margin + milliseconds{1});
  ask(owner, request_of(5, 50));
  ask(owner, request_of(6, 60));
  ask(owner, request_of(7, 70));
  EXPECT_LE(store.segments(), 1U) << "old segments are kept";
  now.wall = first.created; // an owner whose clock runs far behind
  EXPECT_EQ(ask(owner, first).result, claim_result::too_old);
}

TEST_F(ClaimShardOwnerTest, GrantsWhatLandedThoughTheAnswerWasLost)
{
  own();
  start_update(request_of(1, 10));
  store.apply(open[0]);
  give(owner, store_answer{.id = open[0].id, .result = lost{}});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, SendsALostUpdateAgainRatherThanGiveItUp)
{
  own();
  start_update(request_of(1, 10));
  give(owner, store_answer{.id = open[0].id, .result = lost{}});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
  EXPECT_TRUE(std::holds_alternative<conflict>(store.apply(open[0]))) << "it landed twice";
}

TEST_F(ClaimShardOwnerTest, RefusesButNeverGrantsWhileALostUpdateMayStillLand)
{
  own();
  start_update(request_of(1, 10));
  hold_calls = true;
  give(owner, store_answer{.id = open[0].id, .result = lost{}});
  EXPECT_TRUE(replies.empty());
  give(owner, store_answer{.id = open[1].id, .result = unavailable{}});
  ASSERT_EQ(replies.size(), 1U);
  const claim_reply refused{.result = claim_result::unavailable, .key_free = true};
  EXPECT_EQ(replies[0].reply, refused);
  EXPECT_EQ(owner.standing(), ownership::settling);
}

TEST_F(ClaimShardOwnerTest, KeepsTheEntryOfARefusedClaimThatMayStillLand)
{
  own();
  start_update(request_of(1, 10));
  hold_calls = true;
  give(owner, store_answer{.id = open[0].id, .result = lost{}});
  give(owner, store_answer{.id = open[1].id, .result = unavailable{}});
  const auto reply = ask(owner, request_of(1, 20));
  EXPECT_EQ(reply.result, claim_result::duplicate);
  EXPECT_EQ(reply.nonce, 10U);
}

TEST_F(ClaimShardOwnerTest, SaysNothingMoreToARefusedClaimThatLands)
{
  own();
  start_update(request_of(1, 10));
  hold_calls = true;
  store.apply(open[0]);
  give(owner, store_answer{.id = open[0].id, .result = lost{}});
  give(owner, store_answer{.id = open[1].id, .result = unavailable{}});
  ASSERT_EQ(replies.size(), 1U);
  hold_calls = false;
  now.mono += std::chrono::seconds(1);
  give(owner, tick{});
  EXPECT_EQ(owner.standing(), ownership::owning);
  EXPECT_EQ(replies.size(), 1U);
}

TEST_F(ClaimShardOwnerTest, GrantsNothingNewAfterItWasTakenOver)
{
  own();
  ask(owner, request_of(1, 10));
  give(other, ownership_desired{true});
  const claim_reply expected{.result = claim_result::not_owner, .owner = daemon_id("b")};
  EXPECT_EQ(ask(owner, request_of(2, 20)), expected);
}

TEST_F(ClaimShardOwnerTest, GrantsAClaimThatLandedBeforeTheTakeover)
{
  own();
  start_update(request_of(1, 10));
  store.apply(open[0]);
  give(other, ownership_desired{true});
  give(owner, store_answer{.id = open[0].id, .result = lost{}});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, RefusesAtOnceWhileTheStoreIsDown)
{
  own();
  start_update(request_of(1, 10));
  give(owner, store_answer{.id = open[0].id, .result = unavailable{}});
  give(owner, claim_asked{.token = 2, .request = request_of(2, 20)});
  ASSERT_EQ(replies.size(), 2U);
  const claim_reply expected{.result = claim_result::unavailable, .key_free = true};
  EXPECT_EQ(replies[0].reply, expected);
  EXPECT_EQ(replies[1].reply, expected);
}

TEST_F(ClaimShardOwnerTest, RefusesOneClaimMoreThanMayWait)
{
  own();
  start_update(request_of(1, 10));
  for (std::uint64_t key = 2; key <= 5; ++key) {
    give(owner, claim_asked{.token = key, .request = request_of(key, 10 * key)});
  }
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].token, 5U);
  EXPECT_EQ(replies[0].reply.result, claim_result::unavailable);
}

TEST_F(ClaimShardOwnerTest, CountsTheKeysOfALostSegmentAsForgotten)
{
  own();
  for (std::uint64_t key = 1; key <= 8; ++key) {
    ask(owner, request_of(key, 10 * key));
  }
  const auto tail = store.tail(0).value();
  for (const auto& segment : tail.segments) {
    store.erase_segment(0, segment.id);
  }
  give(other, ownership_desired{true});
  EXPECT_EQ(ask(other, request_of(1, 11)).result, claim_result::too_old);
}

TEST_F(ClaimShardOwnerTest, FinishesWhatItHasBeforeItReleases)
{
  own();
  start_update(request_of(1, 10));
  give(owner, ownership_desired{false});
  EXPECT_EQ(owner.standing(), ownership::releasing);
  give(owner, claim_asked{.token = 2, .request = request_of(2, 20)});
  EXPECT_EQ(replies.back().reply.result, claim_result::not_owner);
  give(owner, store_answer{.id = open[0].id, .result = store.apply(open[0])});
  EXPECT_EQ(replies.back().reply.result, claim_result::granted);
  EXPECT_EQ(owner.standing(), ownership::not_owner);
}

TEST(ShardMapTest, MovesOnlyTheShardsOfADaemonThatLeaves)
{
  const std::array before = {daemon_id("a"), daemon_id("b"), daemon_id("c")};
  const std::array after = {daemon_id("a"), daemon_id("c")};
  for (std::uint32_t shard = 0; shard < 64; ++shard) {
    const auto was = preferred_owner(shard, before);
    if (was != daemon_id("b")) {
      EXPECT_EQ(preferred_owner(shard, after), was) << "shard " << shard;
    }
  }
  EXPECT_EQ(preferred_owner(0, {}), std::nullopt);
}

} // namespace
} // namespace wisteriaflow::claims
