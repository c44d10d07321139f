#include <gtest/gtest.h>

#include "wisteriaflow/claims/claim_client.h"

namespace wisteriaflow::claims {
namespace {

class ClaimClientTest : public ::testing::Test {
 public:
  clock_reading now;
  const mono_time deadline = now.mono + std::chrono::seconds{1};
  claim_client client{
      {.request = {.executor = daemon_id("me"), .nonce = 1}, .deadline = deadline, .seed = 1}};
  std::vector<claim_client_action> actions;

  void handle(const claim_client_event& event) { actions = client.handle(event, now); }

  void pass_until_due()
  {
    now.mono = *client.wake_at();
    handle(claim_tick{});
  }

  template <typename action> const action* only_action() const
  {
    return actions.size() == 1 ? std::get_if<action>(&actions[0]) : nullptr;
  }
};

TEST_F(ClaimClientTest, DispatchesOnceDespiteDuplicateReplies)
{
  handle(claim_started{});
  handle(claim_reply{.result = claim_result::granted});
  ASSERT_NE(only_action<dispatch_claimed>(), nullptr);
  handle(claim_reply{.result = claim_result::granted});
  EXPECT_TRUE(actions.empty());
}

TEST_F(ClaimClientTest, NeverDispatchesAfterTheDeadline)
{
  handle(claim_started{});
  now.mono = deadline;
  handle(claim_reply{.result = claim_result::granted});
  const auto* refusal = only_action<refuse_claim>();
  ASSERT_NE(refusal, nullptr);
  EXPECT_TRUE(refusal->key_free);
  EXPECT_FALSE(client.dispatched());
}

TEST_F(ClaimClientTest, NeverDispatchesAfterItGaveUp)
{
  handle(claim_started{});
  handle(claim_cancelled{});
  handle(claim_reply{.result = claim_result::granted});
  EXPECT_TRUE(actions.empty());
  EXPECT_FALSE(client.dispatched());
}

TEST_F(ClaimClientTest, RetriesUnderTheSameNonceWhenNoReplyArrives)
{
  handle(claim_started{});
  handle(claim_unanswered{});
  pass_until_due();
  const auto* claim = only_action<send_claim>();
  ASSERT_NE(claim, nullptr);
  EXPECT_EQ(claim->request.nonce, 1U);
}

TEST_F(ClaimClientTest, FollowsAnOwnerHintButNotInALoop)
{
  handle(claim_started{});
  const claim_reply hint{.result = claim_result::not_owner, .owner = daemon_id("b")};
  int claims_sent = 0;
  for (handle(hint); only_action<send_claim>() != nullptr; handle(hint)) {
    ASSERT_LT(++claims_sent, 10) << "it never backs off";
  }
  EXPECT_GE(claims_sent, 1);
}

TEST_F(ClaimClientTest, ReplacesAClaimThatItsExecutorDidNotRun)
{
  handle(claim_started{});
  handle(claim_reply{.result = claim_result::duplicate, .executor = daemon_id("b"), .nonce = 7});
  ASSERT_NE(only_action<query_executor>(), nullptr);
  handle(executor_answered{execution_state::not_run});
  pass_until_due();
  const auto* claim = only_action<send_claim>();
  ASSERT_NE(claim, nullptr);
  EXPECT_EQ(claim->request.replaces_nonce, 7U);
}

TEST_F(ClaimClientTest, ReportsUnknownIfTheHolderNeverAnswers)
{
  handle(claim_started{});
  handle(claim_reply{.result = claim_result::duplicate, .executor = daemon_id("b"), .nonce = 7});
  handle(query_unanswered{});
  now.mono = deadline;
  handle(claim_tick{});
  EXPECT_NE(only_action<report_outcome_unknown>(), nullptr);
}

TEST_F(ClaimClientTest, ReportsUnknownForAKeyThatMayBeForgotten)
{
  handle(claim_started{});
  handle(claim_reply{.result = claim_result::too_old});
  EXPECT_NE(only_action<report_outcome_unknown>(), nullptr);
}

TEST_F(ClaimClientTest, DoesNotReportAKeyAsFreeWithoutAReply)
{
  handle(claim_started{});
  now.mono = deadline;
  handle(claim_tick{});
  const auto* refusal = only_action<refuse_claim>();
  ASSERT_NE(refusal, nullptr);
  EXPECT_FALSE(refusal->key_free);
}

} // namespace
} // namespace wisteriaflow::claims
