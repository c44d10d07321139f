#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/attempt_outcome.h"

namespace wisteriaflow::gateway {
namespace {

answer_head success()
{
  return {.status = 200, .has_signature = true, .request_id = "r1"};
}

TEST(AnswerVerdictTest, ForwardsASignedSuccess)
{
  EXPECT_EQ(classify_answer(success(), "r1"), attempt_outcome::answered);
}

TEST(AnswerVerdictTest, RejectsASuccessWithoutSignature)
{
  auto head = success();
  head.has_signature = false;
  EXPECT_EQ(classify_answer(head, "r1"), attempt_outcome::no_valid_answer);
}

TEST(AnswerVerdictTest, RejectsAnAnswerToAnotherRequest)
{
  EXPECT_EQ(classify_answer(success(), "r2"), attempt_outcome::no_valid_answer);
}

TEST(AnswerVerdictTest, AcceptsTheStatementThatTheRequestWasNotRun)
{
  EXPECT_EQ(classify_answer({.status = 503, .not_run = true}, "r1"), attempt_outcome::not_run);
}

TEST(AnswerVerdictTest, DoesNotForwardANotRunStatusWithoutThatStatement)
{
  for (const int status : {408, 421, 429, 503}) {
    EXPECT_EQ(classify_answer({.status = status, .has_signature = true, .request_id = "r1"}, "r1"),
              attempt_outcome::no_valid_answer);
  }
}

TEST(AnswerVerdictTest, ForwardsAnEndpointsOwnClientAndServerErrors)
{
  EXPECT_EQ(classify_answer({.status = 404, .request_id = "r1"}, "r1"), attempt_outcome::answered);
  EXPECT_EQ(classify_answer({.status = 500, .request_id = "r1"}, "r1"), attempt_outcome::failed);
}

TEST(AnswerVerdictTest, RetriesANonIdempotentCallOnlyIfItHasNotRun)
{
  const route r{.kind = call_kind::non_idempotent, .max_attempts = 3};
  EXPECT_TRUE(may_retry(r, record_attempt({}, attempt_outcome::not_run)));
  EXPECT_FALSE(may_retry(r, record_attempt({}, attempt_outcome::no_valid_answer)));
}

TEST(AnswerVerdictTest, RetriesAStreamOnlyIfItIsResumable)
{
  route r{.kind = call_kind::stream, .max_attempts = 3};
  EXPECT_FALSE(may_retry(r, record_attempt({}, attempt_outcome::no_valid_answer)));
  r.resumable = true;
  EXPECT_TRUE(may_retry(r, record_attempt({}, attempt_outcome::no_valid_answer)));
}

TEST(AnswerVerdictTest, DoesNotExceedMaxAttempts)
{
  const route r{.kind = call_kind::idempotent, .max_attempts = 1};
  EXPECT_FALSE(may_retry(r, record_attempt({}, attempt_outcome::not_run)));
}

TEST(AnswerVerdictTest, ReportsATimeOutForACallThatMayHaveRun)
{
  auto history = record_attempt({}, attempt_outcome::no_valid_answer);
  history.timed_out = true;
  EXPECT_EQ(final_status(history), 504);
}

RC_GTEST_PROP(AnswerVerdictPropertyTest, NotRunIsSaidOnlyIfEveryAttemptWasNotRun, ())
{
  const auto outcomes = *rc::gen::container<std::vector<attempt_outcome>>(
      rc::gen::element(attempt_outcome::answered, attempt_outcome::not_run, attempt_outcome::failed,
                       attempt_outcome::no_valid_answer));
  attempt_history history;
  bool all_not_run = true;
  for (const auto o : outcomes) {
    history = record_attempt(history, o);
    all_not_run = all_not_run && o == attempt_outcome::not_run;
  }
  RC_ASSERT((final_status(history) == 503) == all_not_run);
}

} // namespace
} // namespace wisteriaflow::gateway
