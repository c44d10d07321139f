#include <gtest/gtest.h>

#include "wisteriaflow/claims/claim_asker.h"

namespace wisteriaflow::claims {
namespace {

class ClaimAskerTest : public ::testing::Test {
 public:
  clock_reading now;
  const mono_time deadline = now.mono + std::chrono::seconds{1};
  claim_asker asker{
      {.request = {.executor = daemon_id("me"), .nonce = 1}, .deadline = deadline, .seed = 1}};
  std::vector<asker_action> actions;

  void give(const asker_event& event) { actions = asker.handle(event, now); }

  void pass_until_due()
  {
    now.mono = *asker.wake_at();
    give(ask_tick{});
  }

  template <typename action> const action* only_action() const
  {
    return actions.size() == 1 ? std::get_if<action>(&actions[0]) : nullptr;
  }
};

TEST_F(ClaimAskerTest, DispatchesOnceWhateverComesTwice)
{
  give(ask_started{});
  give(claim_reply{.result = claim_result::granted});
  ASSERT_NE(only_action<dispatch_claimed>(), nullptr);
  give(claim_reply{.result = claim_result::granted});
  EXPECT_TRUE(actions.empty());
}

TEST_F(ClaimAskerTest, NeverDispatchesAfterTheDeadline)
{
  give(ask_started{});
  now.mono = deadline;
  give(claim_reply{.result = claim_result::granted});
  const auto* refusal = only_action<refuse_claim>();
  ASSERT_NE(refusal, nullptr);
  EXPECT_TRUE(refusal->key_free);
  EXPECT_FALSE(asker.dispatched());
}

TEST_F(ClaimAskerTest, NeverDispatchesAfterItGaveUp)
{
  give(ask_started{});
  give(ask_cancelled{});
  give(claim_reply{.result = claim_result::granted});
  EXPECT_TRUE(actions.empty());
  EXPECT_FALSE(asker.dispatched());
}

TEST_F(ClaimAskerTest, AsksAgainUnderTheSameNonceWhenTheAnswerIsLost)
{
  give(ask_started{});
  give(ask_lost{});
  pass_until_due();
  const auto* ask = only_action<ask_owner>();
  ASSERT_NE(ask, nullptr);
  EXPECT_EQ(ask->request.nonce, 1U);
}

TEST_F(ClaimAskerTest, FollowsAHintButNotInCircles)
{
  give(ask_started{});
  const claim_reply hint{.result = claim_result::not_owner, .owner = daemon_id("b")};
  int asks = 0;
  for (give(hint); only_action<ask_owner>() != nullptr; give(hint)) {
    ASSERT_LT(++asks, 10) << "it never pauses";
  }
  EXPECT_GE(asks, 1);
}

TEST_F(ClaimAskerTest, ReplacesAClaimThatItsExecutorDidNotRun)
{
  give(ask_started{});
  give(claim_reply{.result = claim_result::duplicate, .executor = daemon_id("b"), .nonce = 7});
  ASSERT_NE(only_action<query_executor>(), nullptr);
  give(executor_answered{request_standing::not_run});
  pass_until_due();
  const auto* ask = only_action<ask_owner>();
  ASSERT_NE(ask, nullptr);
  EXPECT_EQ(ask->request.replaces_nonce, 7U);
}

TEST_F(ClaimAskerTest, ReportsUnknownIfTheHolderNeverAnswers)
{
  give(ask_started{});
  give(claim_reply{.result = claim_result::duplicate, .executor = daemon_id("b"), .nonce = 7});
  give(query_lost{});
  now.mono = deadline;
  give(ask_tick{});
  EXPECT_NE(only_action<report_unknown>(), nullptr);
}

TEST_F(ClaimAskerTest, ReportsUnknownForAKeyThatMayBeForgotten)
{
  give(ask_started{});
  give(claim_reply{.result = claim_result::too_old});
  EXPECT_NE(only_action<report_unknown>(), nullptr);
}

TEST_F(ClaimAskerTest, DoesNotCallAKeyFreeThatItKnowsNothingOf)
{
  give(ask_started{});
  now.mono = deadline;
  give(ask_tick{});
  const auto* refusal = only_action<refuse_claim>();
  ASSERT_NE(refusal, nullptr);
  EXPECT_FALSE(refusal->key_free);
}

} // namespace
} // namespace wisteriaflow::claims
