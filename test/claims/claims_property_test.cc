// The real owners and askers under the actions of models/claims.pml, in random order.

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "claims/claims_world.h"

namespace wisteriaflow::claims {
namespace {

using step_list = std::vector<std::pair<world_step, std::size_t>>;

// Steps that move things on are likelier than faults, or nothing would ever be granted.
constexpr std::array<int, world_steps> weights = {10, 40, 40, 3, 2, 40, 2, 3, 1, 2, 3, 1, 20, 1};

world_step step_for(int roll)
{
  for (int i = 0; i < world_steps; ++i) {
    roll -= weights[static_cast<std::size_t>(i)];
    if (roll < 0) {
      return static_cast<world_step>(i);
    }
  }
  return world_step::pass_time;
}

int total_weight()
{
  int sum = 0;
  for (const int weight : weights) {
    sum += weight;
  }
  return sum;
}

rc::Gen<step_list> any_steps()
{
  const auto step = rc::gen::map(rc::gen::inRange(0, total_weight()), step_for);
  return rc::gen::scale(6.0, rc::gen::container<step_list>(
                                 rc::gen::pair(step, rc::gen::inRange<std::size_t>(0, 40))));
}

int most_runs(const claims_world& world)
{
  int most = 0;
  for (const auto& [key, runs] : world.runs) {
    most = std::max(most, runs);
  }
  return most;
}

RC_GTEST_PROP(ClaimsPropertyTest, RunsAKeyAtMostOnceAndKeepsItsPromises, ())
{
  claims_world world;
  for (const auto& [step, n] : *any_steps()) {
    world.take(step, n);
  }
  world.heal();
  RC_ASSERT(most_runs(world) <= 1);
  RC_ASSERT(world.broken_promises == 0);
}

RC_GTEST_PROP(ClaimsPropertyTest, ServesAFreshKeyOnceAllIsWellAgain, ())
{
  claims_world world;
  for (const auto& [step, n] : *any_steps()) {
    world.take(step, n);
  }
  world.heal();
  const auto key = world.submit_fresh(1);
  world.heal();
  RC_ASSERT(world.runs[key] == 1);
}

// Random steps from `seed`; returns the most runs of one key.
int most_runs_after(std::uint64_t seed, bool blind_writes)
{
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> rolls(0, total_weight() - 1);
  std::uniform_int_distribution<std::size_t> numbers(0, 39);
  claims_world world;
  world.store.blind_writes = blind_writes;
  const int steps = 600;
  for (int i = 0; i < steps; ++i) {
    const auto step = step_for(rolls(random));
    world.take(step, numbers(random));
  }
  world.heal();
  return most_runs(world);
}

constexpr std::uint64_t control_worlds = 300;

TEST(ClaimsControlTest, BlindWritesRunAKeyTwice)
{
  int doubled = 0;
  for (std::uint64_t seed = 1; seed <= control_worlds; ++seed) {
    doubled += most_runs_after(seed, true) > 1 ? 1 : 0;
  }
  EXPECT_GT(doubled, 0) << "the random steps do not reach the fault that the fence stops";
}

TEST(ClaimsControlTest, ConditionalWritesRunAKeyOnceUnderTheSameSteps)
{
  int ran = 0;
  for (std::uint64_t seed = 1; seed <= control_worlds; ++seed) {
    const int most = most_runs_after(seed, false);
    ran += most;
    EXPECT_LE(most, 1) << "with seed " << seed;
  }
  EXPECT_GT(ran, 0) << "no key ran at all";
}

} // namespace
} // namespace wisteriaflow::claims
