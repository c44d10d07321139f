#include <limits>
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/stated_terms.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const endpoint_id endpoint("e");

bool in_use(const endpoint_id&)
{
  return true;
}

class StatedTermsTest : public testing::Test {
 protected:
  // An answer to a request of `sent_at`.
  static answered_terms answer(std::optional<double> rate, mono_time sent_at)
  {
    return {.process = {.id = endpoint, .incarnation = 1},
            .terms = {.request_rate = rate},
            .sent_at = sent_at,
            .is_signed = true};
  }

  static answered_terms leaving_answer()
  {
    auto out = answer({}, start);
    out.terms.leaving = true;
    return out;
  }

  static told_terms word(std::optional<double> rate, std::chrono::milliseconds age)
  {
    return {.process = {.id = endpoint, .incarnation = 1}, .request_rate = rate, .age = age};
  }

  bool is_limited() const { return terms_.limited() == 1; }

  stated_terms terms_{daemon_id("d")};
};

TEST_F(StatedTermsTest, ARateClosesAnEndpointUntilItsNextRequestIsDue)
{
  EXPECT_EQ(terms_.on_answer(answer(2, start), start), terms_step::tell);
  EXPECT_GT(terms_.open_at(endpoint, start), start);
  EXPECT_EQ(terms_.open_at(endpoint, start + 1s), start + 1s);
  terms_.on_sent(endpoint, start + 1s);
  terms_.on_sent(endpoint, start + 1s);
  EXPECT_GT(terms_.open_at(endpoint, start + 1'500ms), start + 1'500ms);
  EXPECT_EQ(terms_.open_at(endpoint, start + 2s), start + 2s);
}

TEST_F(StatedTermsTest, AnAnswerWithoutARateEndsIt)
{
  terms_.on_answer(answer(2, start), start);
  EXPECT_EQ(terms_.on_answer(answer({}, start + 1s), start + 2s), terms_step::tell);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, AnAnswerToAnEarlierRequestDoesNotEndIt)
{
  terms_.on_answer(answer(2, start), start);
  EXPECT_EQ(terms_.on_answer(answer({}, start - 1ms), start + 5ms), terms_step::nothing);
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, AnUnsignedAnswerDoesNotEndIt)
{
  terms_.on_answer(answer(2, start), start);
  auto unsigned_answer = answer({}, start + 1s);
  unsigned_answer.is_signed = false;
  terms_.on_answer(unsigned_answer, start + 2s);
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, AnAbsurdFigureChangesNothing)
{
  auto absurd = answer({}, start + 1s);
  absurd.terms.rejected = {"request rate: -1"};
  EXPECT_EQ(terms_.on_answer(absurd, start + 2s), terms_step::nothing);
  EXPECT_FALSE(is_limited());
  terms_.on_answer(answer(2, start + 2s), start + 2s);
  absurd.sent_at = start + 3s;
  terms_.on_answer(absurd, start + 4s);
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, ThatAreRepeatedAreNoNews)
{
  EXPECT_EQ(terms_.on_answer(answer(2, start), start), terms_step::tell);
  EXPECT_EQ(terms_.on_answer(answer(2, start + 1s), start + 1s), terms_step::nothing);
  EXPECT_EQ(terms_.on_answer(answer(3, start + 2s), start + 2s), terms_step::tell);
}

TEST_F(StatedTermsTest, OfAPeersWordCount)
{
  terms_.on_told(word(2, 40ms), start);
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, SaidLastCount)
{
  terms_.on_answer(answer(2, start), start);
  terms_.on_told(word({}, 100ms), start + 50ms);
  EXPECT_TRUE(is_limited());
  terms_.on_told(word({}, 100ms), start + 200ms);
  EXPECT_FALSE(is_limited());
  terms_.on_told(word(2, 200ms), start + 250ms);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, DoNotGrowYoungerByTheirWayFromDaemonToDaemon)
{
  stated_terms other(daemon_id("p"));
  terms_.on_answer(answer(2, start), start);
  auto now = start;
  for (int i = 0; i < 1'000; ++i) { // each message takes 20 ms that its age does not tell of
    const auto out = terms_.to_tell(1, in_use, now);
    now += 20ms;
    other.on_told(out.front(), now);
    const auto back = other.to_tell(1, in_use, now);
    now += 20ms;
    terms_.on_told(back.front(), now);
  }
  EXPECT_GE(terms_.to_tell(1, in_use, now).front().age, 39s);
}

TEST_F(StatedTermsTest, OfAPeerThatMakeNoSenseAreNotBelieved)
{
  for (const double figure : {-1.0, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
    EXPECT_EQ(terms_.on_told(word(figure, 0ms), start), terms_step::reject);
  }
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, AreForgottenOnceNobodyHasConfirmedThemForLong)
{
  terms_.on_answer(answer(2, start), start);
  terms_.tick(start + 119s);
  EXPECT_TRUE(is_limited());
  terms_.tick(start + 120s);
  EXPECT_FALSE(is_limited());
  terms_.on_told(word(2, 130s), start + 121s);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, OfAProcessThatHasStartedAnewAreVoid)
{
  terms_.on_answer(answer(2, start), start);
  terms_.forget(endpoint);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, AreToldTheNewestFirstAndTheOthersInTurn)
{
  for (int i = 0; i < 10; ++i) {
    auto said = answer(2, start);
    said.process.id = endpoint_id("old" + std::to_string(i));
    terms_.on_answer(said, start);
  }
  const auto later = start + 10s;
  auto said = answer(2, later);
  said.process.id = endpoint_id("young");
  terms_.on_answer(said, later);
  std::map<std::string, int> times;
  for (int i = 0; i < 10; ++i) {
    const auto told = terms_.to_tell(3, in_use, later);
    ASSERT_EQ(told.size(), 3U);
    EXPECT_EQ(told.front().process.id, endpoint_id("young"));
    for (const auto& t : told) {
      ++times[t.process.id.value()];
    }
  }
  EXPECT_EQ(times.size(), 11U);
  for (const auto& [id, n] : times) {
    EXPECT_EQ(n, id == "young" ? 10 : 2) << id;
  }
}

TEST_F(StatedTermsTest, APauseClosesAnEndpointUntilItEnds)
{
  auto said = answer({}, start);
  said.terms.pause = 3s;
  EXPECT_EQ(terms_.on_answer(said, start), terms_step::nothing);
  EXPECT_EQ(terms_.open_at(endpoint, start + 1s), start + 3s);
  EXPECT_EQ(terms_.open_at(endpoint, start + 4s), start + 4s);
  EXPECT_TRUE(terms_.to_tell(9, in_use, start).empty());
}

TEST_F(StatedTermsTest, AShorterPauseDoesNotEndALongerOne)
{
  auto said = answer({}, start);
  said.terms.pause = 3s;
  terms_.on_answer(said, start);
  said.terms.pause = 1s;
  terms_.on_answer(said, start + 1s);
  EXPECT_EQ(terms_.open_at(endpoint, start + 1s), start + 3s);
}

TEST_F(StatedTermsTest, AnEndpointIsOpenOnceBothItsPauseAndItsRateAllowIt)
{
  auto said = answer(0.1, start);
  said.terms.pause = 3s;
  terms_.on_answer(said, start);
  EXPECT_GT(terms_.open_at(endpoint, start + 4s), start + 4s);
  said.terms.request_rate = 10;
  said.terms.pause = 60s;
  terms_.on_answer(said, start + 5s);
  EXPECT_EQ(terms_.open_at(endpoint, start + 10s), start + 65s);
}

TEST_F(StatedTermsTest, APauseIsOfOneProcess)
{
  auto said = answer({}, start);
  said.terms.pause = 3s;
  terms_.on_answer(said, start);
  EXPECT_EQ(terms_.paused(), 1U);
  terms_.forget(endpoint);
  EXPECT_EQ(terms_.open_at(endpoint, start), start);
}

TEST_F(StatedTermsTest, LeavingHoldsWhateverIsSaidLater)
{
  EXPECT_EQ(terms_.on_answer(leaving_answer(), start), terms_step::tell);
  EXPECT_EQ(terms_.on_answer(leaving_answer(), start + 1s), terms_step::nothing);
  terms_.on_answer(answer({}, start + 2s), start + 3s);
  terms_.on_answer(answer(2, start + 3s), start + 4s);
  terms_.on_told(word({}, 0ms), start + 5s);
  EXPECT_TRUE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
}

TEST_F(StatedTermsTest, LeavingIsToldOnAtOnce)
{
  auto told = word({}, 900ms);
  told.leaving = true;
  EXPECT_EQ(terms_.on_told(told, start), terms_step::tell);
  told.age = 1'900ms;
  EXPECT_EQ(terms_.on_told(told, start + 1s), terms_step::nothing);
  EXPECT_EQ(terms_.to_tell(1, in_use, start + 1s).front().age, 1'900ms);
}

TEST_F(StatedTermsTest, LeavingIsKnownThoughItWasSaidBeforeARateWasNamed)
{
  terms_.on_answer(answer(2, start), start);
  auto told = word({}, 900ms);
  told.leaving = true;
  terms_.on_told(told, start + 100ms);
  EXPECT_TRUE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, LeavingIsOfOneProcess)
{
  terms_.on_answer(leaving_answer(), start);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 2}));
  auto next = word(2, 0ms);
  next.process.incarnation = 2;
  terms_.on_told(next, start + 1s);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 2}));
  auto late = word({}, 5s);
  late.leaving = true; // of the process before
  terms_.on_told(late, start + 2s);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 2}));
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, LeavingIsForgottenOnceTheEndpointHasLongEnded)
{
  terms_.on_answer(leaving_answer(), start);
  terms_.tick(start + 599s);
  EXPECT_TRUE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
  terms_.tick(start + 600s);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
}

TEST_F(StatedTermsTest, NewsOfManyEndpointsAreToldInTurn)
{
  std::set<endpoint_id> told;
  for (int i = 0; i < 12; ++i) {
    auto said = leaving_answer();
    said.process.id = endpoint_id("e" + std::to_string(i));
    terms_.on_answer(said, start);
  }
  for (int i = 0; i < 4; ++i) {
    for (const auto& t : terms_.to_tell(3, in_use, start + 1s)) {
      told.insert(t.process.id);
    }
  }
  EXPECT_EQ(told.size(), 12U);
}

TEST_F(StatedTermsTest, AreToldOfEndpointsInUseAndAsNews)
{
  terms_.on_answer(leaving_answer(), start);
  const auto gone = [](const endpoint_id&) { return false; };
  EXPECT_EQ(terms_.to_tell(9, gone, start + 1s).size(), 1U);
  EXPECT_EQ(terms_.to_tell(9, gone, start + 5s).size(), 0U);
  EXPECT_EQ(terms_.to_tell(9, in_use, start + 5s).size(), 1U);
}

} // namespace
} // namespace wisteriaflow::gateway
