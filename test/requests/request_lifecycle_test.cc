#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/requests/request_lifecycle.h"

namespace wisteriaflow::requests {
namespace {

using actions = std::vector<request_action>;

const clock_reading start_time{mono_time{std::chrono::seconds(100)},
                               from_unix_ms(1'700'000'000'000)};

// A `request_lifecycle` at a fixed time. `deliver` handles events in order and returns the actions
// of the last one.
struct driven_lifecycle {
  request_lifecycle lifecycle;

  explicit driven_lifecycle(request_lifecycle_options options, handed_over_state state = {})
      : lifecycle(std::move(options), std::move(state))
  {
  }

  template <typename... events> actions deliver(const events&... all)
  {
    actions last;
    ((last = lifecycle.handle(all, start_time)), ...);
    return last;
  }
};

template <typename action> const action* find(const actions& all)
{
  const auto it = std::find_if(all.begin(), all.end(), [](const request_action& a) {
    return std::holds_alternative<action>(a);
  });
  return it == all.end() ? nullptr : &std::get<action>(*it);
}

template <typename result> const result* ended_with(const actions& all)
{
  const auto* it = find<finish>(all);
  return it == nullptr ? nullptr : std::get_if<result>(&it->result);
}

// A reclaim notice of two seconds. Finishing takes longer than that; moving the KV cache does not,
// and it is cheaper than replay.
reclaim_announced notice_for(const std::string& endpoint)
{
  return {endpoint_id(endpoint),
          {.reclaim_at = start_time.mono + std::chrono::seconds(2),
           .kv_tokens = 1000,
           .remaining_tokens = 1000,
           .decode_rate = 100,
           .transfer_rate = 10000,
           .prefill_rate = 2000}};
}

reclaim_announced notice_without_transfer(const std::string& endpoint)
{
  auto notice = notice_for(endpoint);
  notice.estimate.transfer_rate = 0;
  return notice;
}

// A generation that runs on endpoint e1 and whose caller has received the tokens "a" and "b".
driven_lifecycle streaming_lifecycle(bool idempotent)
{
  driven_lifecycle it(
      {.idempotent = idempotent, .keyed = true, .streamed = true, .prompt_tokens = 10});
  it.deliver(admission_granted{}, claim_granted{7}, attempt_started{1, endpoint_id("e1")},
             token_arrived{1, 0, "a"}, token_arrived{1, 1, "b"});
  return it;
}

TEST(RequestLifecycleTest, StartsAnIdempotentRequestOnceAdmitted)
{
  driven_lifecycle it({});
  EXPECT_EQ(it.deliver(admission_granted{}), (actions{start_attempt{.attempt = 1}}));
}

TEST(RequestLifecycleTest, ClaimsANonIdempotentRequestBeforeItStarts)
{
  driven_lifecycle it({.idempotent = false});
  EXPECT_EQ(it.deliver(admission_granted{}), actions{claim_key{}});
  EXPECT_EQ(it.deliver(claim_granted{7}), (actions{start_attempt{.attempt = 1}}));
}

TEST(RequestLifecycleTest, RefusesWithTheRetryTimeFromAdmission)
{
  driven_lifecycle it({});
  const auto retry_at = start_time.wall + std::chrono::seconds(3);
  const auto got = it.deliver(admission_refused{refusal_reason::over_share, retry_at, ""});
  const auto* refusal = ended_with<refused_not_run>(got);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->retry_at, retry_at);
}

TEST(RequestLifecycleTest, RefusesARequestWhoseKeyCannotBeClaimed)
{
  driven_lifecycle it({.idempotent = false});
  const auto got = it.deliver(admission_granted{}, claim_unavailable{start_time.wall});
  EXPECT_NE(ended_with<refused_not_run>(got), nullptr);
}

TEST(RequestLifecycleTest, SendsADuplicateToTheDaemonThatHasTheAnswer)
{
  driven_lifecycle it({.idempotent = false});
  const auto got = it.deliver(admission_granted{},
                              claim_duplicate{duplicate_state::answered_elsewhere, "10.0.0.2:80"});
  EXPECT_EQ(got, actions{redirect{"10.0.0.2:80"}});
}

TEST(RequestLifecycleTest, AnswersConflictForAKeyWithAnotherBody)
{
  driven_lifecycle it({.idempotent = false});
  const auto got =
      it.deliver(admission_granted{}, claim_duplicate{duplicate_state::body_mismatch, ""});
  const auto* result = ended_with<invalid>(got);
  ASSERT_NE(result, nullptr);
  EXPECT_EQ(result->status, 409);
}

TEST(RequestLifecycleTest, SendsTheHeadBeforeTheFirstToken)
{
  driven_lifecycle it({.streamed = true});
  const auto got = it.deliver(admission_granted{}, token_arrived{1, 0, "a"});
  ASSERT_EQ(got.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<send_head>(got[0]));
  EXPECT_EQ(got[1], request_action(send_token{0, "a"}));
}

TEST(RequestLifecycleTest, KeepsTheAnswerOfAKeyedRequest)
{
  auto it = streaming_lifecycle(true);
  const auto got = it.deliver(attempt_finished{1, 2, "stop", {}});
  const auto* kept = find<keep_answer>(got);
  ASSERT_NE(kept, nullptr);
  EXPECT_EQ(kept->until, start_time.wall + request_lifecycle_options{}.retention);
  EXPECT_NE(ended_with<answered>(got), nullptr);
}

TEST(RequestLifecycleTest, ResumesAfterABrokenStreamFromTheTokensItHas)
{
  auto it = streaming_lifecycle(true);
  EXPECT_EQ(it.deliver(attempt_failed{1, failure_kind::interrupted, {}}), actions{ask_retry{1}});
  EXPECT_EQ(
      it.deliver(retry_granted{}),
      (actions{start_attempt{
          .attempt = 2, .exclude = {endpoint_id("e1")}, .resume_tokens = 2, .resume_text = "ab"}}));
}

TEST(RequestLifecycleTest, CountsTheReplayedPrefixAsRecomputed)
{
  auto it = streaming_lifecycle(true);
  it.deliver(attempt_failed{1, failure_kind::interrupted, {}}, retry_granted{});
  EXPECT_EQ(it.lifecycle.recomputed_tokens(), 12U);
}

TEST(RequestLifecycleTest, PrefersTheEnginesOwnCountOfRecomputedTokens)
{
  auto it = streaming_lifecycle(true);
  it.deliver(attempt_failed{1, failure_kind::interrupted, {}}, retry_granted{});
  it.deliver(attempt_finished{2, 2, "stop", {.recomputed_tokens = 5}});
  EXPECT_EQ(it.lifecycle.recomputed_tokens(), 5U);
}

TEST(RequestLifecycleTest, ResumesAtAGapThatDoesNotClose)
{
  auto it = streaming_lifecycle(true);
  actions got;
  for (std::uint64_t offset = 3; got.empty(); ++offset) {
    ASSERT_LT(offset, 100U) << "the gap at 2 never led to a resume";
    got = it.deliver(token_arrived{1, offset, "x"});
  }
  EXPECT_EQ(got, (actions{cancel_attempt{.attempt = 1}, ask_retry{1}}));
}

TEST(RequestLifecycleTest, TreatsAStreamWithoutAFinishReasonAsBroken)
{
  auto it = streaming_lifecycle(true);
  EXPECT_EQ(it.deliver(attempt_finished{1, 2, "", {}}), actions{ask_retry{1}});
}

TEST(RequestLifecycleTest, NeverSendsANonIdempotentRequestAgain)
{
  auto it = streaming_lifecycle(false);
  const auto got = it.deliver(attempt_failed{1, failure_kind::interrupted, {}});
  EXPECT_NE(ended_with<outcome_unknown>(got), nullptr);
}

TEST(RequestLifecycleTest, RetriesANonIdempotentRequestOfWhichNothingWasSent)
{
  driven_lifecycle it({.idempotent = false});
  const auto got = it.deliver(admission_granted{}, claim_granted{7},
                              attempt_failed{1, failure_kind::connect_failed, {}}, retry_granted{});
  EXPECT_NE(find<start_attempt>(got), nullptr);
}

TEST(RequestLifecycleTest, SaysNotRunWhenNoAttemptCouldConnect)
{
  driven_lifecycle it({});
  const auto got =
      it.deliver(admission_granted{}, attempt_failed{1, failure_kind::connect_failed, {}},
                 retry_denied{start_time.wall});
  EXPECT_NE(ended_with<refused_not_run>(got), nullptr);
}

TEST(RequestLifecycleTest, SaysUnknownWhenTheDeadlinePassesDuringAnAttempt)
{
  driven_lifecycle it({});
  const auto got = it.deliver(admission_granted{}, deadline_passed{});
  EXPECT_NE(ended_with<outcome_unknown>(got), nullptr);
  EXPECT_NE(find<cancel_attempt>(got), nullptr);
}

TEST(RequestLifecycleTest, StopsAfterTheAllowedRetries)
{
  driven_lifecycle it({.max_retries = 1});
  it.deliver(admission_granted{}, attempt_failed{1, failure_kind::interrupted, {}},
             retry_granted{});
  const auto got = it.deliver(attempt_failed{2, failure_kind::interrupted, {}});
  const auto* unknown = ended_with<outcome_unknown>(got);
  ASSERT_NE(unknown, nullptr);
  EXPECT_EQ(unknown->reason, unknown_reason::retries_exhausted);
}

TEST(RequestLifecycleTest, ForwardsTheEndpointsErrorResponse)
{
  driven_lifecycle it({.generation = false});
  const auto got = it.deliver(
      admission_granted{},
      attempt_failed{1, failure_kind::endpoint_status, {.status = 422, .body = "no such room"}});
  EXPECT_NE(ended_with<answered>(got), nullptr);
  const auto* body = find<send_body>(got);
  ASSERT_NE(body, nullptr);
  EXPECT_EQ(body->bytes, "no such room");
}

TEST(RequestLifecycleTest, ReplaysAtOnceOnAnAnnouncedReclaim)
{
  auto it = streaming_lifecycle(true);
  const auto got = it.deliver(notice_without_transfer("e1"));
  EXPECT_NE(find<cancel_attempt>(got), nullptr);
  const auto* next = find<start_attempt>(got);
  ASSERT_NE(next, nullptr);
  EXPECT_EQ(next->resume_tokens, 2U);
}

TEST(RequestLifecycleTest, IgnoresAReclaimOfAnotherEndpoint)
{
  auto it = streaming_lifecycle(true);
  EXPECT_EQ(it.deliver(notice_for("e2")), actions{});
}

TEST(RequestLifecycleTest, MovesTheCacheOfANonIdempotentRunOnlyAfterItsCancelIsConfirmed)
{
  auto it = streaming_lifecycle(false);
  EXPECT_EQ(it.deliver(notice_for("e1")), (actions{export_kv{1, endpoint_id("e1")}}));
  EXPECT_EQ(it.deliver(kv_exported{1, "h", 2}), (actions{cancel_attempt{1, true}}));
  const auto got = it.deliver(cancel_confirmed{1});
  const auto* next = find<start_attempt>(got);
  ASSERT_NE(next, nullptr);
  EXPECT_EQ(next->transfer, (kv_transfer{"h", endpoint_id("e1"), 2}));
}

TEST(RequestLifecycleTest, StaysWithANonIdempotentRunThatCannotBeMoved)
{
  auto it = streaming_lifecycle(false);
  EXPECT_EQ(it.deliver(notice_without_transfer("e1")), actions{});
  EXPECT_NE(ended_with<answered>(it.deliver(attempt_finished{1, 2, "stop", {}})), nullptr);
}

TEST(RequestLifecycleTest, StaysWhenTheCancelOfANonIdempotentRunIsNotConfirmed)
{
  auto it = streaming_lifecycle(false);
  it.deliver(notice_for("e1"), kv_exported{1, "h", 2}, cancel_failed{1});
  EXPECT_EQ(it.lifecycle.stage(), lifecycle_stage::streaming);
}

TEST(RequestLifecycleTest, ContinuesWithoutTheCallerIfTheAnswerIsKept)
{
  auto it = streaming_lifecycle(true);
  EXPECT_EQ(it.deliver(caller_disconnected{}), actions{});
  EXPECT_EQ(it.deliver(token_arrived{1, 2, "c"}), actions{});
}

TEST(RequestLifecycleTest, CancelsWithoutTheCallerIfTheAnswerIsNotKept)
{
  driven_lifecycle it({});
  EXPECT_NE(find<cancel_attempt>(it.deliver(admission_granted{}, caller_disconnected{})), nullptr);
  EXPECT_TRUE(it.lifecycle.finished());
}

TEST(RequestLifecycleTest, SendsAReconnectedCallerTheTokensItMissed)
{
  auto it = streaming_lifecycle(true);
  it.deliver(caller_disconnected{}, token_arrived{1, 2, "c"});
  const auto got = it.deliver(caller_reconnected{0});
  ASSERT_EQ(got.size(), 3U);
  EXPECT_EQ(got[1], request_action(send_token{1, "b"}));
  EXPECT_EQ(got[2], request_action(send_token{2, "c"}));
}

TEST(RequestLifecycleTest, HandsAnIdempotentRequestOverWithItsTokens)
{
  auto it = streaming_lifecycle(true);
  const auto got = it.deliver(drain_started{true});
  const auto* handed = find<hand_over>(got);
  ASSERT_NE(handed, nullptr);
  EXPECT_EQ(handed->state.tokens, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(it.deliver(handover_accepted{"10.0.0.3:80"}),
            (actions{cancel_attempt{.attempt = 1}, redirect{"10.0.0.3:80"}}));
}

TEST(RequestLifecycleTest, ContinuesAHandedOverRequestAtThePeer)
{
  driven_lifecycle it({.keyed = true, .streamed = true, .caller_connected = false},
                      {.attempt = 3, .tokens = {"a", "b"}, .dispatched = true});
  const auto got = it.deliver(admission_granted{});
  EXPECT_EQ(got, (actions{start_attempt{
                     .attempt = 4, .exclude = {}, .resume_tokens = 2, .resume_text = "ab"}}));
}

TEST(RequestLifecycleTest, HandsOverAgainIfThePeerDrains)
{
  driven_lifecycle it({.keyed = true}, {.attempt = 3, .tokens = {"a"}, .dispatched = true});
  EXPECT_NE(find<hand_over>(it.deliver(drain_started{true})), nullptr);
}

TEST(RequestLifecycleTest, DoesNotRunAHandedOverNonIdempotentRequestAgain)
{
  driven_lifecycle it({.idempotent = false}, {.attempt = 1, .dispatched = true, .claim_nonce = 7});
  EXPECT_NE(ended_with<outcome_unknown>(it.deliver(admission_granted{})), nullptr);
}

TEST(RequestLifecycleTest, RefusesANewRequestWhileDraining)
{
  driven_lifecycle it({});
  EXPECT_NE(ended_with<refused_not_run>(it.deliver(drain_started{})), nullptr);
}

} // namespace
} // namespace wisteriaflow::requests
