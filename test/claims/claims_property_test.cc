// Runs the real owners and clients through the actions of models/claims.pml in random order.

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "claims/claims_simulation.h"

namespace wisteriaflow::claims {
namespace {

using step_list = std::vector<std::pair<simulation_step, std::size_t>>;

// Steps that make progress have larger weights than faults, otherwise hardly any claim would be
// granted.
constexpr std::array<int, simulation_steps> weights = {10, 40, 40, 3, 2, 40, 2,
                                                       3,  1,  2,  3, 1, 20, 1};

simulation_step step_for(int roll)
{
  for (int i = 0; i < simulation_steps; ++i) {
    roll -= weights[static_cast<std::size_t>(i)];
    if (roll < 0) {
      return static_cast<simulation_step>(i);
    }
  }
  return simulation_step::pass_time;
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

int max_runs(const claims_simulation& simulation)
{
  int out = 0;
  for (const auto& [key, runs] : simulation.runs) {
    out = std::max(out, runs);
  }
  return out;
}

RC_GTEST_PROP(ClaimsPropertyTest, RunsAKeyAtMostOnceAndNeverAfterReportingNotRun, ())
{
  claims_simulation simulation;
  for (const auto& [step, n] : *any_steps()) {
    simulation.run_step(step, n);
  }
  simulation.end_faults();
  RC_ASSERT(max_runs(simulation) <= 1);
  RC_ASSERT(simulation.not_run_violations == 0);
}

RC_GTEST_PROP(ClaimsPropertyTest, RunsANewKeyOnceAllFaultsHaveEnded, ())
{
  claims_simulation simulation;
  for (const auto& [step, n] : *any_steps()) {
    simulation.run_step(step, n);
  }
  simulation.end_faults();
  const auto key = simulation.submit_new_key(1);
  simulation.end_faults();
  RC_ASSERT(simulation.runs[key] == 1);
}

// Runs random steps from `seed` and returns the highest number of runs of one key.
int max_runs_after(std::uint64_t seed, bool unconditional_writes)
{
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> rolls(0, total_weight() - 1);
  std::uniform_int_distribution<std::size_t> numbers(0, 39);
  claims_simulation simulation;
  simulation.store.unconditional_writes = unconditional_writes;
  const int steps = 600;
  for (int i = 0; i < steps; ++i) {
    const auto step = step_for(rolls(random));
    simulation.run_step(step, numbers(random));
  }
  simulation.end_faults();
  return max_runs(simulation);
}

constexpr std::uint64_t control_simulations = 300;

TEST(ClaimsControlTest, UnconditionalWritesRunAKeyTwice)
{
  int doubled = 0;
  for (std::uint64_t seed = 1; seed <= control_simulations; ++seed) {
    doubled += max_runs_after(seed, true) > 1 ? 1 : 0;
  }
  EXPECT_GT(doubled, 0) << "the random steps never cause the fault that conditional writes prevent";
}

TEST(ClaimsControlTest, ConditionalWritesRunAKeyOnceUnderTheSameSteps)
{
  int ran = 0;
  for (std::uint64_t seed = 1; seed <= control_simulations; ++seed) {
    const int runs = max_runs_after(seed, false);
    ran += runs;
    EXPECT_LE(runs, 1) << "with seed " << seed;
  }
  EXPECT_GT(ran, 0) << "no key ran at all";
}

} // namespace
} // namespace wisteriaflow::claims
