#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/requests/answer_store.h"

namespace wisteriaflow::requests {
namespace {

const answer_key key{workspace_id("authority"), "k1"};
const hash128 body = hash128_of("body");

kept_answer answer_of(const std::string& text)
{
  return {.result = answered{}, .response = {.body = text}};
}

wall_time at_second(int n)
{
  return wall_time{std::chrono::seconds(n)};
}

TEST(AnswerStoreTest, OpensARunForANewKey)
{
  answer_store store;
  EXPECT_EQ(store.open(key, body, "r1"), open_result(run_opened{}));
}

TEST(AnswerStoreTest, JoinsTheRunOfTheSameKeyAndBody)
{
  answer_store store;
  store.open(key, body, "r1");
  EXPECT_EQ(store.open(key, body, "r2"), open_result(run_joined{"r1"}));
  EXPECT_EQ(store.keep(key, body, answer_of("a"), at_second(9)), std::vector<std::string>{"r2"});
}

TEST(AnswerStoreTest, RefusesTheKeyWithAnotherBody)
{
  answer_store store;
  store.open(key, body, "r1");
  EXPECT_EQ(store.open(key, hash128_of("other"), "r2"), open_result(body_mismatch{}));
  store.keep(key, body, answer_of("a"), at_second(9));
  EXPECT_EQ(store.open(key, hash128_of("other"), "r2"), open_result(body_mismatch{}));
}

TEST(AnswerStoreTest, SeparatesWorkspaces)
{
  answer_store store;
  store.open(key, body, "r1");
  EXPECT_EQ(store.open({workspace_id("hotels"), "k1"}, body, "r2"), open_result(run_opened{}));
}

TEST(AnswerStoreTest, ReturnsAKeptAnswerUntilItsDeadline)
{
  answer_store store;
  store.keep(key, body, answer_of("a"), at_second(9));
  store.expire(at_second(8));
  EXPECT_EQ(store.find(key), find_result(answer_found{answer_of("a")}));
  store.expire(at_second(9));
  EXPECT_EQ(store.find(key), find_result(key_not_found{}));
  EXPECT_EQ(store.bytes(), 0U);
}

TEST(AnswerStoreTest, FreesTheKeyOfARefusedRun)
{
  answer_store store;
  store.open(key, body, "r1");
  store.release(key);
  EXPECT_EQ(store.open(key, body, "r2"), open_result(run_opened{}));
}

TEST(AnswerStoreTest, EvictsTheEarliestDeadlineWhenFull)
{
  const auto size = size_of(answer_of("a"));
  answer_store store({.max_bytes = 2 * size});
  const answer_key second{key.workspace, "k2"};
  const answer_key third{key.workspace, "k3"};
  store.keep(key, body, answer_of("a"), at_second(9));
  store.keep(second, body, answer_of("b"), at_second(5));
  store.keep(third, body, answer_of("c"), at_second(7));
  EXPECT_EQ(store.find(second), find_result(key_not_found{}));
  EXPECT_EQ(store.find(key), find_result(answer_found{answer_of("a")}));
  EXPECT_EQ(store.bytes(), 2 * size);
}

TEST(AnswerStoreTest, DoesNotKeepAnAnswerLargerThanItself)
{
  answer_store store({.max_bytes = 1000});
  store.keep(key, body, answer_of(std::string(2000, 'x')), at_second(9));
  EXPECT_EQ(store.find(key), find_result(key_not_found{}));
}

TEST(AnswerStoreTest, BoundsRunsInFlight)
{
  answer_store store({.max_in_flight = 1});
  store.open(key, body, "r1");
  EXPECT_EQ(store.open({key.workspace, "k2"}, body, "r2"), open_result(store_full{}));
}

TEST(AnswerStoreTest, ListsKeptAnswersLatestDeadlineFirst)
{
  answer_store store;
  store.keep(key, body, answer_of("a"), at_second(5));
  store.keep({key.workspace, "k2"}, body, answer_of("b"), at_second(9));
  const auto all = store.kept_answers();
  ASSERT_EQ(all.size(), 2U);
  EXPECT_EQ(all.front().key.key, "k2");
}

} // namespace
} // namespace wisteriaflow::requests
