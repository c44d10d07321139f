#include <algorithm>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/routing/choose_endpoint.h"
#include "wisteriaflow/routing/prefix_blocks.h"

namespace wisteriaflow::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{seconds(1000)};

class ChooseEndpointTest : public testing::Test {
 protected:
  endpoint_slot add(const std::string& name, double price = 1, const std::string& zone = "z1")
  {
    return table_.upsert({.id = endpoint_id(name),
                          .address = name,
                          .availability_zone = availability_zone(zone),
                          .price_per_hour = price});
  }

  void report(endpoint_slot slot, int waiting)
  {
    table_.on_report(slot, {.waiting = waiting, .max_running = 16, .measured_at = start});
  }

  decision choose(const request_view& request)
  {
    return choose_endpoint(view(), request, table_.slots(), start, rng_);
  }

  // A prompt of 16 full blocks.
  static std::string make_prompt()
  {
    std::string out;
    for (std::size_t i = 0; i < 16 * prefix_block_words; ++i) {
      out += "x ";
    }
    return out;
  }

  routing_view view() const { return {table_, cache_index_, options_}; }

  endpoint_table table_{{}};
  prefix_cache_index cache_index_{{}};
  routing_options options_{.availability_zone = availability_zone("z1")};
  std::mt19937_64 rng_{7};
  std::vector<std::uint64_t> blocks_ = prefix_block_hashes(model_id("m"), make_prompt());
  request_view request_{.blocks = blocks_,
                        .prompt_tokens = 1024,
                        .expected_output_tokens = 100,
                        .target = start + seconds(1),
                        .deadline = start + seconds(5)};
};

TEST_F(ChooseEndpointTest, PrefersTheShorterQueue)
{
  report(add("busy"), 6);
  const auto idle = add("idle");
  report(idle, 0);
  EXPECT_EQ(std::get<chosen_endpoint>(choose(request_)).slot, idle);
}

TEST_F(ChooseEndpointTest, PrefersTheEndpointThatHoldsThePrefix)
{
  add("cold");
  const auto warm = add("warm");
  cache_index_.on_sent(warm, blocks_, start);
  const auto chosen = std::get<chosen_endpoint>(choose(request_));
  EXPECT_EQ(chosen.slot, warm);
  EXPECT_EQ(chosen.parts.cached_tokens, 1024);
}

TEST_F(ChooseEndpointTest, TakesTheCheapestWithinTheTargetWhenPriceIsPreferred)
{
  options_.price_preference = 1;
  const auto cheap = add("cheap", 1);
  const auto expensive = add("dear", 4);
  report(cheap, 2);
  report(expensive, 0);
  EXPECT_EQ(std::get<chosen_endpoint>(choose(request_)).slot, cheap);
}

TEST_F(ChooseEndpointTest, AvoidsACheapEndpointThatMissesTheTarget)
{
  options_.price_preference = 1;
  const auto cheap = add("cheap", 1);
  const auto expensive = add("dear", 4);
  report(cheap, 15);
  report(expensive, 0);
  EXPECT_EQ(std::get<chosen_endpoint>(choose(request_)).slot, expensive);
}

TEST_F(ChooseEndpointTest, SkipsEndpointsExcludedByEarlierAttempts)
{
  const auto a = add("a");
  const auto b = add("b");
  const std::vector<endpoint_slot> excluded = {a};
  request_.excluded = excluded;
  EXPECT_EQ(std::get<chosen_endpoint>(choose(request_)).slot, b);
}

TEST_F(ChooseEndpointTest, SkipsAnEndpointWhoseConnectionsFailUntilItsBackoffEnds)
{
  const auto a = add("a");
  table_.on_connect_failure(a, start);
  EXPECT_TRUE(std::holds_alternative<no_endpoint>(choose(request_)));
  const auto later = table_.at(a).unreachable_until;
  request_.deadline = later + seconds(5);
  const auto made = choose_endpoint(view(), request_, table_.slots(), later, rng_);
  EXPECT_TRUE(std::holds_alternative<chosen_endpoint>(made));
}

TEST_F(ChooseEndpointTest, ReturnsARetryTimeWhenTheDeadlineCannotBeMet)
{
  report(add("busy"), 200);
  const auto refused = std::get<no_endpoint>(choose(request_));
  EXPECT_EQ(refused.reason, no_endpoint_reason::deadline_unreachable);
  ASSERT_TRUE(refused.retry_at.has_value());
  EXPECT_GT(*refused.retry_at, start);
}

TEST_F(ChooseEndpointTest, ChoosesAtRandomAmongNearlyEqualEndpoints)
{
  for (int i = 0; i < 8; ++i) {
    add("e" + std::to_string(i));
  }
  std::set<endpoint_slot> used;
  for (int i = 0; i < 200; ++i) {
    used.insert(std::get<chosen_endpoint>(choose(request_)).slot);
  }
  EXPECT_EQ(used.size(), 8U);
}

TEST_F(ChooseEndpointTest, ExplainsTheSameChoice)
{
  add("a");
  report(add("b"), 3);
  table_.on_leaving(add("c"));
  auto same_rng = rng_;
  const auto chosen = std::get<chosen_endpoint>(choose(request_));
  const auto lines = explain_choice(view(), request_, table_.slots(), start, same_rng);
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_EQ(lines[chosen.slot].result, candidate_outcome::chosen);
  EXPECT_EQ(lines[1].result, candidate_outcome::worse);
  EXPECT_EQ(lines[2].result, candidate_outcome::leaving);
}

RC_GTEST_FIXTURE_PROP(ChooseEndpointTest, NeverChoosesALeavingOrExcludedEndpoint, ())
{
  const auto n = *rc::gen::inRange(1, 20);
  std::set<endpoint_slot> forbidden;
  std::vector<endpoint_slot> excluded;
  for (int i = 0; i < n; ++i) {
    const auto slot = add("e" + std::to_string(i), *rc::gen::inRange(1, 9));
    report(slot, *rc::gen::inRange(0, 40));
    if (*rc::gen::inRange(0, 3) == 0) {
      table_.on_leaving(slot);
      forbidden.insert(slot);
    }
    if (*rc::gen::inRange(0, 3) == 0) {
      excluded.push_back(slot);
      forbidden.insert(slot);
    }
  }
  request_.excluded = excluded;
  const auto made = choose(request_);
  if (const auto* chosen = std::get_if<chosen_endpoint>(&made)) {
    RC_ASSERT(!forbidden.contains(chosen->slot));
  } else if (const auto& at = std::get<no_endpoint>(made).retry_at) {
    RC_ASSERT(*at > start);
  }
}

} // namespace
} // namespace wisteriaflow::routing
