// Guards against a decision on the end of an answer that takes what is not known for the good case.

#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/answer_end.h"

namespace wisteriaflow::gateway {
namespace {

std::optional<probe_verdict> any_verdict()
{
  return *rc::gen::element<std::optional<probe_verdict>>(
      std::nullopt, probe_verdict::listens, probe_verdict::ended, probe_verdict::unknown);
}

end_observation any_unframed()
{
  return {.is_replaced = *rc::gen::arbitrary<bool>(), .own = any_verdict(), .peer = any_verdict()};
}

TEST(AnswerEndTest, IsUnknownIfNothingIsKnown)
{
  EXPECT_EQ(judge_end({}), answer_end{});
  EXPECT_FALSE(answer_end{}.is_whole());
}

TEST(AnswerEndTest, IsCutIfTheOwnConnectionIsRefused)
{
  const answer_end cut{end_verdict::cut, end_evidence::refused};
  EXPECT_EQ(judge_end({.own = probe_verdict::ended}), cut);
  EXPECT_EQ(judge_end({.own = probe_verdict::ended, .peer = probe_verdict::listens}), cut);
}

RC_GTEST_PROP(AnswerEndPropertyTest, AFramedAnswerIsWhole, ())
{
  auto seen = any_unframed();
  seen.is_framed = true;
  RC_ASSERT(judge_end(seen).is_whole());
}

RC_GTEST_PROP(AnswerEndPropertyTest, AnUnframedAnswerIsWholeOnlyIfItsProcessStillListens, ())
{
  const auto seen = any_unframed();
  if (judge_end(seen).is_whole()) {
    RC_ASSERT(!seen.is_replaced);
    RC_ASSERT(seen.own == probe_verdict::listens || seen.peer == probe_verdict::listens);
  }
}

RC_GTEST_PROP(AnswerEndPropertyTest, ARefusedConnectionIsNeverOverruled, ())
{
  auto seen = any_unframed();
  seen.own = probe_verdict::ended;
  RC_ASSERT(!judge_end(seen).is_whole());
}

// A peer that dies takes its verdict with it.
RC_GTEST_PROP(AnswerEndPropertyTest, LessKnowledgeNeverMakesAnAnswerWhole, ())
{
  const auto seen = any_unframed();
  auto less = seen;
  if (*rc::gen::arbitrary<bool>()) {
    less.peer.reset();
  } else {
    less.own = probe_verdict::unknown;
  }
  RC_PRE(seen.own != probe_verdict::ended);
  if (judge_end(less).is_whole()) {
    RC_ASSERT(judge_end(seen).is_whole());
  }
}

RC_GTEST_PROP(AnswerEndPropertyTest, AnAnswerThatIsNotWholeIsNeverSaidToBeFramed, ())
{
  const auto end = judge_end(any_unframed());
  RC_ASSERT(end.evidence != end_evidence::framing);
  RC_ASSERT(end.is_whole() ==
            (end.evidence == end_evidence::listens || end.evidence == end_evidence::peer_listens));
}

} // namespace
} // namespace wisteriaflow::gateway
