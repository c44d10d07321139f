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

// Two owners over a fake store that answers at once, except while `hold_calls` is set.
class ClaimShardOwnerTest : public ::testing::Test {
 public:
  claim_shard_owner owner{{.self = daemon_id("a"), .settings = settings(), .seed = 1}};
  claim_shard_owner other{{.self = daemon_id("b"), .settings = settings(), .seed = 2}};
  fake_claim_store store;
  clock_reading now{.wall = from_unix_ms(1'800'000'000'000)};
  std::vector<send_reply> replies;
  std::vector<store_call> open_calls; // calls that were held back by `hold_calls`
  bool hold_calls = false;

  static claim_settings settings()
  {
    return {.max_tail_entries = 2, .merge_segments = 3, .max_pending = 4};
  }

  void handle(claim_shard_owner& to, const owner_event& event)
  {
    std::deque<owner_event> events{event};
    while (!events.empty()) {
      for (const auto& action : to.handle(events.front(), now)) {
        if (const auto* reply = std::get_if<send_reply>(&action)) {
          replies.push_back(*reply);
        } else if (const auto& call = std::get<store_call>(action); hold_calls) {
          open_calls.push_back(call);
        } else {
          events.emplace_back(store_answer{.id = call.id, .result = store.apply(call)});
        }
      }
      events.pop_front();
    }
  }

  void advance_time(milliseconds time)
  {
    now.mono += time;
    now.wall += time;
    handle(owner, tick{});
  }

  [[nodiscard]] claim_request request_of(std::uint64_t key, std::uint64_t nonce) const
  {
    return {.key = {.high = key, .low = key},
            .body_hash = key,
            .created = now.wall,
            .executor = daemon_id("x" + std::to_string(nonce)),
            .nonce = nonce};
  }

  // Sends a claim, advances to the next flush and returns the last reply.
  claim_reply claim(claim_shard_owner& to, const claim_request& request)
  {
    handle(to, claim_received{.token = request.nonce, .request = request});
    now.mono += settings().flush_interval;
    handle(to, tick{});
    return replies.empty() ? claim_reply{} : replies.back().reply;
  }

  void take_ownership() { handle(owner, ownership_desired{true}); }

  // Starts a claim whose update has been sent to the store and not answered.
  void start_update(const claim_request& request)
  {
    now.mono += settings().flush_interval;
    hold_calls = true;
    handle(owner, claim_received{.token = request.nonce, .request = request});
    hold_calls = false;
  }
};

TEST_F(ClaimShardOwnerTest, GrantsOnlyOnceTheUpdateIsStored)
{
  take_ownership();
  start_update(request_of(1, 10));
  ASSERT_EQ(open_calls.size(), 1U);
  EXPECT_TRUE(replies.empty()) << "granted before the update was stored";
  handle(owner, store_answer{.id = open_calls[0].id, .result = store.apply(open_calls[0])});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, BacksOffBetweenTakeoversThatAllConflict)
{
  hold_calls = true;
  take_ownership();
  handle(owner, claim_received{.token = 10, .request = request_of(1, 10)});
  int calls = 0;
  for (int step = 0; step < 40; ++step) {
    for (const auto& c : std::exchange(open_calls, {})) {
      ++calls;
      const bool reads = std::holds_alternative<read_tail>(c.operation);
      handle(owner,
             store_answer{.id = c.id, .result = reads ? store_result(tail_value{}) : conflict{}});
    }
    advance_time(milliseconds(25));
  }
  EXPECT_LE(calls, 12); // in one second; without a backoff there is one in every step
  ASSERT_EQ(replies.size(), 1U) << "the claim waits for a takeover that never succeeds";
  EXPECT_EQ(replies[0].reply.result, claim_result::unavailable);
}

TEST_F(ClaimShardOwnerTest, GrantsTheSameNonceAgain)
{
  take_ownership();
  const auto request = request_of(1, 10);
  EXPECT_EQ(claim(owner, request).result, claim_result::granted);
  EXPECT_EQ(claim(owner, request).result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, NamesTheHolderOfADuplicate)
{
  take_ownership();
  claim(owner, request_of(1, 10));
  const claim_reply expected{
      .result = claim_result::duplicate, .executor = daemon_id("x10"), .nonce = 10};
  EXPECT_EQ(claim(owner, request_of(1, 11)), expected);
}

TEST_F(ClaimShardOwnerTest, RefusesAKeyWithAnotherBody)
{
  take_ownership();
  claim(owner, request_of(1, 10));
  auto other_body = request_of(1, 11);
  other_body.body_hash = 99;
  EXPECT_EQ(claim(owner, other_body).result, claim_result::body_mismatch);
}

TEST_F(ClaimShardOwnerTest, MovesAClaimThatWasNotRun)
{
  take_ownership();
  claim(owner, request_of(1, 10));
  auto replacing = request_of(1, 11);
  replacing.replaces_nonce = 10;
  EXPECT_EQ(claim(owner, replacing).result, claim_result::granted);
  EXPECT_EQ(claim(owner, request_of(1, 12)).nonce, 11U);
}

TEST_F(ClaimShardOwnerTest, RefusesAKeyOlderThanRetention)
{
  take_ownership();
  auto old = request_of(1, 10);
  old.created = now.wall - settings().retention - milliseconds{1};
  EXPECT_EQ(claim(owner, old).result, claim_result::too_old);
}

TEST_F(ClaimShardOwnerTest, RemembersClaimsThroughSegmentsMergesAndTakeover)
{
  take_ownership();
  const std::uint64_t keys = 40;
  for (std::uint64_t key = 1; key <= keys; ++key) {
    ASSERT_EQ(claim(owner, request_of(key, 100 + key)).result, claim_result::granted) << key;
  }
  handle(other, ownership_desired{true});
  for (std::uint64_t key = 1; key <= keys; ++key) {
    EXPECT_EQ(claim(other, request_of(key, 200 + key)).nonce, 100 + key) << "key " << key;
  }
  EXPECT_LE(store.tail(0)->segments.size(), 10U) << "segments are not merged";
}

TEST_F(ClaimShardOwnerTest, ForgetsSegmentsPastRetentionAndNeverGrantsTheirKeys)
{
  take_ownership();
  const auto first = request_of(1, 10);
  for (std::uint64_t key = 1; key <= 4; ++key) {
    claim(owner, request_of(key, 10 * key));
  }
  advance_time(settings().retention + settings().skew_margin + milliseconds{1});
  claim(owner, request_of(5, 50));
  claim(owner, request_of(6, 60));
  claim(owner, request_of(7, 70));
  EXPECT_LE(store.segments(), 1U) << "old segments are kept";
  now.wall = first.created; // an owner whose clock is far behind
  EXPECT_EQ(claim(owner, first).result, claim_result::too_old);
}

TEST_F(ClaimShardOwnerTest, GrantsAStoredClaimThoughTheAnswerWasLost)
{
  take_ownership();
  start_update(request_of(1, 10));
  store.apply(open_calls[0]);
  handle(owner, store_answer{.id = open_calls[0].id, .result = unanswered{}});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, ResendsAnUnansweredUpdateRatherThanGivingItUp)
{
  take_ownership();
  start_update(request_of(1, 10));
  handle(owner, store_answer{.id = open_calls[0].id, .result = unanswered{}});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
  EXPECT_TRUE(std::holds_alternative<conflict>(store.apply(open_calls[0])))
      << "the update was stored twice";
}

TEST_F(ClaimShardOwnerTest, RefusesButNeverGrantsWhileAnUnansweredUpdateMayStillBeStored)
{
  take_ownership();
  start_update(request_of(1, 10));
  hold_calls = true;
  handle(owner, store_answer{.id = open_calls[0].id, .result = unanswered{}});
  EXPECT_TRUE(replies.empty());
  handle(owner, store_answer{.id = open_calls[1].id, .result = unavailable{}});
  ASSERT_EQ(replies.size(), 1U);
  const claim_reply refused{.result = claim_result::unavailable, .key_free = true};
  EXPECT_EQ(replies[0].reply, refused);
  EXPECT_EQ(owner.state(), ownership::settling);
}

TEST_F(ClaimShardOwnerTest, KeepsTheEntryOfARefusedClaimThatMayStillBeStored)
{
  take_ownership();
  start_update(request_of(1, 10));
  hold_calls = true;
  handle(owner, store_answer{.id = open_calls[0].id, .result = unanswered{}});
  handle(owner, store_answer{.id = open_calls[1].id, .result = unavailable{}});
  const auto reply = claim(owner, request_of(1, 20));
  EXPECT_EQ(reply.result, claim_result::duplicate);
  EXPECT_EQ(reply.nonce, 10U);
}

TEST_F(ClaimShardOwnerTest, SendsNoSecondReplyToARefusedClaimThatIsStored)
{
  take_ownership();
  start_update(request_of(1, 10));
  hold_calls = true;
  store.apply(open_calls[0]);
  handle(owner, store_answer{.id = open_calls[0].id, .result = unanswered{}});
  handle(owner, store_answer{.id = open_calls[1].id, .result = unavailable{}});
  ASSERT_EQ(replies.size(), 1U);
  hold_calls = false;
  now.mono += std::chrono::seconds(1);
  handle(owner, tick{});
  EXPECT_EQ(owner.state(), ownership::owning);
  EXPECT_EQ(replies.size(), 1U);
}

TEST_F(ClaimShardOwnerTest, GrantsNothingNewAfterItWasTakenOver)
{
  take_ownership();
  claim(owner, request_of(1, 10));
  handle(other, ownership_desired{true});
  const claim_reply expected{.result = claim_result::not_owner, .owner = daemon_id("b")};
  EXPECT_EQ(claim(owner, request_of(2, 20)), expected);
}

TEST_F(ClaimShardOwnerTest, GrantsAClaimThatWasStoredBeforeTheTakeover)
{
  take_ownership();
  start_update(request_of(1, 10));
  store.apply(open_calls[0]);
  handle(other, ownership_desired{true});
  handle(owner, store_answer{.id = open_calls[0].id, .result = unanswered{}});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.result, claim_result::granted);
}

TEST_F(ClaimShardOwnerTest, RefusesAtOnceWhileTheStoreIsDown)
{
  take_ownership();
  start_update(request_of(1, 10));
  handle(owner, store_answer{.id = open_calls[0].id, .result = unavailable{}});
  handle(owner, claim_received{.token = 2, .request = request_of(2, 20)});
  ASSERT_EQ(replies.size(), 2U);
  const claim_reply expected{.result = claim_result::unavailable, .key_free = true};
  EXPECT_EQ(replies[0].reply, expected);
  EXPECT_EQ(replies[1].reply, expected);
}

TEST_F(ClaimShardOwnerTest, RefusesAClaimBeyondTheLimitOfPendingOnes)
{
  take_ownership();
  start_update(request_of(1, 10));
  for (std::uint64_t key = 2; key <= 5; ++key) {
    handle(owner, claim_received{.token = key, .request = request_of(key, 10 * key)});
  }
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].token, 5U);
  EXPECT_EQ(replies[0].reply.result, claim_result::unavailable);
}

TEST_F(ClaimShardOwnerTest, CountsTheKeysOfALostSegmentAsForgotten)
{
  take_ownership();
  for (std::uint64_t key = 1; key <= 8; ++key) {
    claim(owner, request_of(key, 10 * key));
  }
  const auto tail = store.tail(0).value();
  for (const auto& segment : tail.segments) {
    store.erase_segment(0, segment.id);
  }
  handle(other, ownership_desired{true});
  EXPECT_EQ(claim(other, request_of(1, 11)).result, claim_result::too_old);
}

TEST_F(ClaimShardOwnerTest, FinishesPendingClaimsBeforeItReleases)
{
  take_ownership();
  start_update(request_of(1, 10));
  handle(owner, ownership_desired{false});
  EXPECT_EQ(owner.state(), ownership::releasing);
  handle(owner, claim_received{.token = 2, .request = request_of(2, 20)});
  EXPECT_EQ(replies.back().reply.result, claim_result::not_owner);
  handle(owner, store_answer{.id = open_calls[0].id, .result = store.apply(open_calls[0])});
  EXPECT_EQ(replies.back().reply.result, claim_result::granted);
  EXPECT_EQ(owner.state(), ownership::not_owner);
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
