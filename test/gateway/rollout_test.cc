#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/rollout_codec.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const wall_time start{1'000s};

rollout order_to(const std::string& version, std::uint64_t revision,
                 rollout_phase phase = rollout_phase::trial)
{
  return {.service = "chat",
          .order = order_id("chat", version, std::to_string(revision)),
          .revision = revision,
          .target = version,
          .ordered_at = start,
          .deadline = start + 20s,
          .phase = phase};
}

rollout in_phase(rollout r, rollout_phase phase)
{
  r.phase = phase;
  return r;
}

TEST(RolloutTest, ABadVersionWinsOverTrafficThatMoves)
{
  const auto order = order_to("v2", 5);
  const auto moving = in_phase(order, rollout_phase::moving);
  const auto bad = in_phase(order, rollout_phase::rolled_back);
  EXPECT_EQ(joined(moving, bad).phase, rollout_phase::rolled_back);
  EXPECT_EQ(joined(bad, moving).phase, rollout_phase::rolled_back);
}

TEST(RolloutTest, WhatTheStoreHoldsAsSucceededStaysSo)
{
  const auto order = order_to("v2", 5);
  const auto done = in_phase(order, rollout_phase::succeeded);
  const auto bad = in_phase(order, rollout_phase::rolled_back);
  EXPECT_EQ(joined(bad, done).phase, rollout_phase::succeeded);
}

TEST(RolloutTest, TheEarliestNoticeSetsTheDeadline)
{
  const auto early = order_to("v2", 5);
  auto late = early;
  late.ordered_at += 3s;
  late.deadline += 3s;
  EXPECT_EQ(joined(late, early).deadline, early.deadline);
}

TEST(RolloutTest, TrafficMovesLittleByLittle)
{
  auto order = order_to("v2", 5, rollout_phase::moving);
  order.moves_from = start;
  order.moved_by = start + 2s;
  EXPECT_EQ(order.moved_part(start), 0);
  EXPECT_DOUBLE_EQ(order.moved_part(start + 500ms), 0.25);
  EXPECT_EQ(order.moved_part(start + 2s), 1);
}

TEST(RolloutTest, OnlyTheVersionThatTrafficMovesToCarriesIt)
{
  const auto order = order_to("v2", 5);
  EXPECT_TRUE(carries_traffic(order, "v1"));
  EXPECT_FALSE(carries_traffic(order, "v2"));
  EXPECT_TRUE(carries_traffic(in_phase(order, rollout_phase::moving), "v2"));
  EXPECT_TRUE(carries_traffic(in_phase(order, rollout_phase::rolled_back), "v1"));
}

TEST(RolloutBookTest, RefusesABadVersionAndNoOther)
{
  rollout_book book;
  book.note(order_to("v2", 5, rollout_phase::rolled_back));
  EXPECT_TRUE(book.is_refused("chat", "v2"));
  EXPECT_FALSE(book.is_refused("chat", "v1"));
  EXPECT_FALSE(book.is_refused("portal", "v2"));
}

TEST(RolloutBookTest, RefusesEveryOtherVersionOnceOneHasSucceeded)
{
  rollout_book book;
  book.note(order_to("v2", 5, rollout_phase::succeeded));
  EXPECT_TRUE(book.is_refused("chat", "v1"));
  EXPECT_FALSE(book.is_refused("chat", "v2"));
}

TEST(RolloutBookTest, AReplacedOrderLeavesItsVersionRefused)
{
  rollout_book book;
  book.note(order_to("v2", 5));
  EXPECT_TRUE(book.note(order_to("v3", 9)));
  EXPECT_TRUE(book.is_refused("chat", "v2"));
  EXPECT_FALSE(book.is_refused("chat", "v3"));
}

TEST(RolloutBookTest, AVersionThatSucceededStaysInUseBesideTheNextOrder)
{
  rollout_book book;
  book.note(order_to("v2", 5, rollout_phase::succeeded));
  book.note(order_to("v3", 9));
  EXPECT_FALSE(book.is_refused("chat", "v2"));
}

TEST(RolloutBookTest, AVersionThatIsOrderedAgainIsTriedAgain)
{
  rollout_book book;
  book.note(order_to("v2", 5, rollout_phase::rolled_back));
  book.note(order_to("v2", 9));
  EXPECT_FALSE(book.is_refused("chat", "v2"));
  EXPECT_EQ(book.find("chat")->phase, rollout_phase::trial);
}

TEST(RolloutBookTest, OldNewsChangeNothing)
{
  rollout_book book;
  book.note(order_to("v3", 9));
  EXPECT_FALSE(book.note(order_to("v3", 9)));
  book.note(order_to("v2", 5, rollout_phase::moving));
  EXPECT_EQ(book.find("chat")->target, "v3");
}

TEST(RolloutBookTest, AWithdrawnOrderIsRolledBack)
{
  rollout_book book;
  book.note(order_to("v2", 5));
  EXPECT_TRUE(book.withdraw("chat", 7));
  EXPECT_TRUE(book.is_refused("chat", "v2"));
  EXPECT_FALSE(book.withdraw("chat", 8));
}

TEST(RolloutBookTest, TravelsWhole)
{
  rollout_book book;
  book.note(order_to("v2", 5));
  book.note(order_to("v3", 9, rollout_phase::moving));
  EXPECT_EQ(decode_rollouts(encode_rollouts(book.all())), book.all());
}

RC_GTEST_PROP(RolloutBookTest, DaemonsEndWithTheSameInWhateverOrderNewsCome, ())
{
  // Orders that follow one another, each told in several phases.
  std::vector<rollout> news;
  for (const std::uint64_t revision : {5U, 9U, 14U}) {
    const auto version = "v" + std::to_string(*rc::gen::inRange(2, 5));
    const auto told = *rc::gen::inRange(1, 4);
    for (int i = 0; i < told; ++i) {
      news.push_back(order_to(version, revision,
                              *rc::gen::element(rollout_phase::trial, rollout_phase::moving,
                                                rollout_phase::rolled_back)));
    }
  }
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  rollout_book first;
  rollout_book second;
  for (const auto& r : news) {
    first.note(r);
  }
  std::shuffle(news.begin(), news.end(), random);
  for (const auto& r : news) {
    second.note(r);
  }
  RC_ASSERT(first.find("chat")->order == second.find("chat")->order);
  RC_ASSERT(first.find("chat")->phase == second.find("chat")->phase);
}

} // namespace
} // namespace wisteriaflow::gateway
