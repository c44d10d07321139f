#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/answer_verdict.h"

namespace wisteriaflow::gateway {
namespace {

answer_head success()
{
  return {.status = 200, .has_signature = true, .request_id = "r1"};
}

TEST(AnswerVerdictTest, PassesOnASignedSuccess)
{
  EXPECT_EQ(judge(success(), "r1"), attempt_outcome::answered);
}

TEST(AnswerVerdictTest, TakesNoSuccessWithoutSignature)
{
  auto head = success();
  head.has_signature = false;
  EXPECT_EQ(judge(head, "r1"), attempt_outcome::broken);
}

TEST(AnswerVerdictTest, TakesNoAnswerToAnotherRequest)
{
  EXPECT_EQ(judge(success(), "r2"), attempt_outcome::broken);
}

TEST(AnswerVerdictTest, BelievesAnEndpointThatSaysItDidNotRunTheRequest)
{
  EXPECT_EQ(judge({.status = 503, .not_run = true}, "r1"), attempt_outcome::not_run);
}

TEST(AnswerVerdictTest, DoesNotPassOnAStatusThatPromisesMoreThanTheEndpointDid)
{
  for (const int status : {408, 421, 429, 503}) {
    EXPECT_EQ(judge({.status = status, .has_signature = true, .request_id = "r1"}, "r1"),
              attempt_outcome::broken);
  }
}

TEST(AnswerVerdictTest, PassesOnAnEndpointsOwnRefusalAndFailure)
{
  EXPECT_EQ(judge({.status = 404, .request_id = "r1"}, "r1"), attempt_outcome::answered);
  EXPECT_EQ(judge({.status = 500, .request_id = "r1"}, "r1"), attempt_outcome::failed);
}

TEST(AnswerVerdictTest, SendsANonIdempotentCallAgainOnlyIfItHasNotRun)
{
  const route r{.kind = call_kind::non_idempotent, .max_attempts = 3};
  EXPECT_TRUE(may_send_again(r, after({}, attempt_outcome::not_run)));
  EXPECT_FALSE(may_send_again(r, after({}, attempt_outcome::broken)));
}

TEST(AnswerVerdictTest, SendsAStreamAgainOnlyIfItIsResumable)
{
  route r{.kind = call_kind::stream, .max_attempts = 3};
  EXPECT_FALSE(may_send_again(r, after({}, attempt_outcome::broken)));
  r.resumable = true;
  EXPECT_TRUE(may_send_again(r, after({}, attempt_outcome::broken)));
}

TEST(AnswerVerdictTest, KeepsToTheMostAttempts)
{
  const route r{.kind = call_kind::idempotent, .max_attempts = 1};
  EXPECT_FALSE(may_send_again(r, after({}, attempt_outcome::not_run)));
}

TEST(AnswerVerdictTest, SaysTimedOutOnlyOfWhatMayHaveRun)
{
  auto history = after({}, attempt_outcome::broken);
  history.timed_out = true;
  EXPECT_EQ(final_status(history), 504);
}

RC_GTEST_PROP(AnswerVerdictPropertyTest, NotRunIsSaidOnlyIfEveryAttemptWasNotRun, ())
{
  const auto outcomes = *rc::gen::container<std::vector<attempt_outcome>>(
      rc::gen::element(attempt_outcome::answered, attempt_outcome::not_run, attempt_outcome::failed,
                       attempt_outcome::broken));
  attempt_history history;
  bool all_not_run = true;
  for (const auto o : outcomes) {
    history = after(history, o);
    all_not_run = all_not_run && o == attempt_outcome::not_run;
  }
  RC_ASSERT((final_status(history) == 503) == all_not_run);
}

} // namespace
} // namespace wisteriaflow::gateway
