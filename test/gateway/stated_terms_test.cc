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
  // An answer to a request that was sent at `sent_at`.
  static answer_terms answer(std::optional<double> rate, mono_time sent_at)
  {
    return {.process = {.id = endpoint, .incarnation = 1},
            .terms = {.request_rate = rate},
            .sent_at = sent_at,
            .is_signed = true};
  }

  static answer_terms leaving_answer()
  {
    auto out = answer({}, start);
    out.terms.leaving = true;
    return out;
  }

  static peer_terms from_peer(std::optional<double> rate, std::chrono::milliseconds age)
  {
    return {.process = {.id = endpoint, .incarnation = 1}, .request_rate = rate, .age = age};
  }

  bool is_limited() const { return terms_.rate_limited_count() == 1; }

  stated_terms terms_{daemon_id("d")};
};

TEST_F(StatedTermsTest, ARateClosesAnEndpointUntilItsNextRequestIsDue)
{
  EXPECT_EQ(terms_.on_answer(answer(2, start), start), terms_action::gossip);
  EXPECT_GT(terms_.next_allowed_at(endpoint, start), start);
  EXPECT_EQ(terms_.next_allowed_at(endpoint, start + 1s), start + 1s);
  terms_.on_sent(endpoint, start + 1s);
  terms_.on_sent(endpoint, start + 1s);
  EXPECT_GT(terms_.next_allowed_at(endpoint, start + 1'500ms), start + 1'500ms);
  EXPECT_EQ(terms_.next_allowed_at(endpoint, start + 2s), start + 2s);
}

TEST_F(StatedTermsTest, AnAnswerWithoutARateEndsIt)
{
  terms_.on_answer(answer(2, start), start);
  EXPECT_EQ(terms_.on_answer(answer({}, start + 1s), start + 2s), terms_action::gossip);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, AnAnswerToAnEarlierRequestDoesNotEndIt)
{
  terms_.on_answer(answer(2, start), start);
  EXPECT_EQ(terms_.on_answer(answer({}, start - 1ms), start + 5ms), terms_action::nothing);
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

TEST_F(StatedTermsTest, AnInvalidValueChangesNothing)
{
  auto absurd = answer({}, start + 1s);
  absurd.terms.rejected = {"request rate: -1"};
  EXPECT_EQ(terms_.on_answer(absurd, start + 2s), terms_action::nothing);
  EXPECT_FALSE(is_limited());
  terms_.on_answer(answer(2, start + 2s), start + 2s);
  absurd.sent_at = start + 3s;
  terms_.on_answer(absurd, start + 4s);
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, ThatAreRepeatedAreNotGossipedAtOnce)
{
  EXPECT_EQ(terms_.on_answer(answer(2, start), start), terms_action::gossip);
  EXPECT_EQ(terms_.on_answer(answer(2, start + 1s), start + 1s), terms_action::nothing);
  EXPECT_EQ(terms_.on_answer(answer(3, start + 2s), start + 2s), terms_action::gossip);
}

TEST_F(StatedTermsTest, ReceivedFromAPeerApply)
{
  terms_.on_peer_terms(from_peer(2, 40ms), start);
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, StatedLastApply)
{
  terms_.on_answer(answer(2, start), start);
  terms_.on_peer_terms(from_peer({}, 100ms), start + 50ms);
  EXPECT_TRUE(is_limited());
  terms_.on_peer_terms(from_peer({}, 100ms), start + 200ms);
  EXPECT_FALSE(is_limited());
  terms_.on_peer_terms(from_peer(2, 200ms), start + 250ms);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, DoNotGetYoungerWhenPassedBetweenDaemons)
{
  stated_terms other(daemon_id("p"));
  terms_.on_answer(answer(2, start), start);
  auto now = start;
  for (int i = 0; i < 1'000; ++i) { // each message takes 20 ms that its age doesn't include
    const auto out = terms_.to_gossip(1, in_use, now);
    now += 20ms;
    other.on_peer_terms(out.front(), now);
    const auto back = other.to_gossip(1, in_use, now);
    now += 20ms;
    terms_.on_peer_terms(back.front(), now);
  }
  EXPECT_GE(terms_.to_gossip(1, in_use, now).front().age, 39s);
}

TEST_F(StatedTermsTest, ReceivedFromAPeerAreRejectedIfInvalid)
{
  for (const double figure : {-1.0, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
    EXPECT_EQ(terms_.on_peer_terms(from_peer(figure, 0ms), start), terms_action::reject);
  }
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, ExpireWithoutConfirmation)
{
  terms_.on_answer(answer(2, start), start);
  terms_.tick(start + 119s);
  EXPECT_TRUE(is_limited());
  terms_.tick(start + 120s);
  EXPECT_FALSE(is_limited());
  terms_.on_peer_terms(from_peer(2, 130s), start + 121s);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, OfARestartedProcessAreVoid)
{
  terms_.on_answer(answer(2, start), start);
  terms_.remove(endpoint);
  EXPECT_FALSE(is_limited());
}

TEST_F(StatedTermsTest, AreGossipedNewestFirstAndTheOthersInRotation)
{
  for (int i = 0; i < 10; ++i) {
    auto response = answer(2, start);
    response.process.id = endpoint_id("old" + std::to_string(i));
    terms_.on_answer(response, start);
  }
  const auto later = start + 10s;
  auto response = answer(2, later);
  response.process.id = endpoint_id("young");
  terms_.on_answer(response, later);
  std::map<std::string, int> times;
  for (int i = 0; i < 10; ++i) {
    const auto gossiped = terms_.to_gossip(3, in_use, later);
    ASSERT_EQ(gossiped.size(), 3U);
    EXPECT_EQ(gossiped.front().process.id, endpoint_id("young"));
    for (const auto& t : gossiped) {
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
  auto response = answer({}, start);
  response.terms.pause = 3s;
  EXPECT_EQ(terms_.on_answer(response, start), terms_action::nothing);
  EXPECT_EQ(terms_.next_allowed_at(endpoint, start + 1s), start + 3s);
  EXPECT_EQ(terms_.next_allowed_at(endpoint, start + 4s), start + 4s);
  EXPECT_TRUE(terms_.to_gossip(9, in_use, start).empty());
}

TEST_F(StatedTermsTest, AShorterPauseDoesNotEndALongerOne)
{
  auto response = answer({}, start);
  response.terms.pause = 3s;
  terms_.on_answer(response, start);
  response.terms.pause = 1s;
  terms_.on_answer(response, start + 1s);
  EXPECT_EQ(terms_.next_allowed_at(endpoint, start + 1s), start + 3s);
}

TEST_F(StatedTermsTest, AnEndpointIsOpenOnceBothItsPauseAndItsRateAllowIt)
{
  auto response = answer(0.1, start);
  response.terms.pause = 3s;
  terms_.on_answer(response, start);
  EXPECT_GT(terms_.next_allowed_at(endpoint, start + 4s), start + 4s);
  response.terms.request_rate = 10;
  response.terms.pause = 60s;
  terms_.on_answer(response, start + 5s);
  EXPECT_EQ(terms_.next_allowed_at(endpoint, start + 10s), start + 65s);
}

TEST_F(StatedTermsTest, APauseBelongsToOneProcess)
{
  auto response = answer({}, start);
  response.terms.pause = 3s;
  terms_.on_answer(response, start);
  EXPECT_EQ(terms_.paused_count(), 1U);
  terms_.remove(endpoint);
  EXPECT_EQ(terms_.next_allowed_at(endpoint, start), start);
}

TEST_F(StatedTermsTest, LeavingHoldsWhateverIsStatedLater)
{
  EXPECT_EQ(terms_.on_answer(leaving_answer(), start), terms_action::gossip);
  EXPECT_EQ(terms_.on_answer(leaving_answer(), start + 1s), terms_action::nothing);
  terms_.on_answer(answer({}, start + 2s), start + 3s);
  terms_.on_answer(answer(2, start + 3s), start + 4s);
  terms_.on_peer_terms(from_peer({}, 0ms), start + 5s);
  EXPECT_TRUE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
}

TEST_F(StatedTermsTest, LeavingIsGossipedAtOnce)
{
  auto received = from_peer({}, 900ms);
  received.leaving = true;
  EXPECT_EQ(terms_.on_peer_terms(received, start), terms_action::gossip);
  received.age = 1'900ms;
  EXPECT_EQ(terms_.on_peer_terms(received, start + 1s), terms_action::nothing);
  EXPECT_EQ(terms_.to_gossip(1, in_use, start + 1s).front().age, 1'900ms);
}

TEST_F(StatedTermsTest, LeavingAppliesEvenIfItWasStatedBeforeARate)
{
  terms_.on_answer(answer(2, start), start);
  auto received = from_peer({}, 900ms);
  received.leaving = true;
  terms_.on_peer_terms(received, start + 100ms);
  EXPECT_TRUE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, LeavingBelongsToOneProcess)
{
  terms_.on_answer(leaving_answer(), start);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 2}));
  auto next = from_peer(2, 0ms);
  next.process.incarnation = 2;
  terms_.on_peer_terms(next, start + 1s);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 2}));
  auto late = from_peer({}, 5s);
  late.leaving = true; // stated by the previous process
  terms_.on_peer_terms(late, start + 2s);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 2}));
  EXPECT_TRUE(is_limited());
}

TEST_F(StatedTermsTest, LeavingExpiresLongAfterTheEndpointHasTerminated)
{
  terms_.on_answer(leaving_answer(), start);
  terms_.tick(start + 599s);
  EXPECT_TRUE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
  terms_.tick(start + 600s);
  EXPECT_FALSE(terms_.is_leaving({.id = endpoint, .incarnation = 1}));
}

TEST_F(StatedTermsTest, ChangesOfManyEndpointsAreGossipedInRotation)
{
  std::set<endpoint_id> gossiped;
  for (int i = 0; i < 12; ++i) {
    auto response = leaving_answer();
    response.process.id = endpoint_id("e" + std::to_string(i));
    terms_.on_answer(response, start);
  }
  for (int i = 0; i < 4; ++i) {
    for (const auto& t : terms_.to_gossip(3, in_use, start + 1s)) {
      gossiped.insert(t.process.id);
    }
  }
  EXPECT_EQ(gossiped.size(), 12U);
}

TEST_F(StatedTermsTest, AreGossipedIfTheEndpointIsInUseOrTheyHaveChanged)
{
  terms_.on_answer(leaving_answer(), start);
  const auto gone = [](const endpoint_id&) { return false; };
  EXPECT_EQ(terms_.to_gossip(9, gone, start + 1s).size(), 1U);
  EXPECT_EQ(terms_.to_gossip(9, gone, start + 5s).size(), 0U);
  EXPECT_EQ(terms_.to_gossip(9, in_use, start + 5s).size(), 1U);
}

} // namespace
} // namespace wisteriaflow::gateway
