// Simulates calls on two versions and evaluates them many times, to measure how often a good
// version is found bad, and how many calls a bad one gets before it is found.

#include <functional>
#include <random>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/version_evaluator.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

// Probabilities that a call fails, and that a call that does not fail is slow.
struct quality {
  double fails = 0;
  double slow = 0.15;
};

struct simulation_result {
  bool found_bad = false;
  std::uint64_t calls = 0; // at the target, until it was found bad
  std::uint64_t bad_calls = 0;
  int seconds_after_50th_bad_call = 0; // until it was found bad
};

class simulated_versions {
 public:
  explicit simulated_versions(unsigned seed) : random_(seed) {}

  int baseline_calls = 200; // per second
  int target_calls = 16;
  std::size_t endpoints = 5;
  int seconds = 30;
  quality baseline;
  // Quality of an endpoint of the target in a second.
  std::function<quality(std::size_t endpoint, int second)> target = [](std::size_t, int) {
    return quality{};
  };

  simulation_result simulate()
  {
    version_evaluator evaluator({});
    outcomes_by_route total;
    simulation_result out;
    for (int s = 0; s < seconds; ++s) {
      auto& counts = total["r"];
      for (int i = 0; i < baseline_calls; ++i) {
        add(counts.baseline, baseline);
      }
      for (int i = 0; i < target_calls; ++i) {
        const auto e = random_() % endpoints;
        auto& n = counts.target[endpoint_id("e" + std::to_string(e))];
        const auto before = n.failed + n.slow;
        add(n, target(e, s));
        ++out.calls;
        out.bad_calls += n.failed + n.slow > before ? 1 : 0;
      }
      evaluator.add_counts(total, mono_time{} + std::chrono::seconds(s));
      out.seconds_after_50th_bad_call += out.bad_calls >= 50 ? 1 : 0;
      if (evaluator.regression()) {
        out.found_bad = true;
        return out;
      }
    }
    return out;
  }

 private:
  void add(outcome_counts& to, const quality& q)
  {
    ++to.calls;
    const bool fails = std::bernoulli_distribution(q.fails)(random_);
    to.failed += fails ? 1 : 0;
    to.slow += !fails && std::bernoulli_distribution(q.slow)(random_) ? 1 : 0;
  }

  std::mt19937 random_;
};

// Returns the number of versions found bad in 1,000 simulations.
int false_positives(const std::function<void(simulated_versions&)>& set)
{
  int out = 0;
  for (unsigned seed = 0; seed < 1'000; ++seed) {
    simulated_versions versions(seed);
    set(versions);
    out += versions.simulate().found_bad ? 1 : 0;
  }
  return out;
}

TEST(VersionEvaluatorTest, FewerThanOneGoodVersionIn200IsFoundBad)
{
  EXPECT_LT(false_positives([](simulated_versions& v) {
              v.baseline.fails = 0.005;
              v.target = [](auto, auto) { return quality{.fails = 0.005}; };
            }),
            5);
}

TEST(VersionEvaluatorTest, AServiceThatOftenFailsMakesNoVersionBad)
{
  EXPECT_LT(false_positives([](simulated_versions& v) {
              v.baseline.fails = 0.3;
              v.target = [](auto, auto) { return quality{.fails = 0.3}; };
            }),
            5);
}

TEST(VersionEvaluatorTest, FailuresOfAllEndpointsAtOnceAreNotDueToTheVersion)
{
  EXPECT_LT(false_positives([](simulated_versions& v) {
              v.baseline.fails = 0.45; // as after a platform fault
              v.target = [](auto, auto) { return quality{.fails = 0.45}; };
            }),
            5);
}

TEST(VersionEvaluatorTest, OneFaultyEndpointDoesNotMakeAVersionBad)
{
  EXPECT_LT(false_positives([](simulated_versions& v) {
              v.target = [](std::size_t e, int) { return quality{.fails = e == 1 ? 0.8 : 0.0}; };
            }),
            5);
}

TEST(VersionEvaluatorTest, TwoSlowEndpointsOfFiveDoNotMakeAVersionBad)
{
  EXPECT_LT(false_positives([](simulated_versions& v) {
              v.target = [](std::size_t e, int) { return quality{.slow = e < 2 ? 0.9 : 0.15}; };
            }),
            5);
}

// Returns the longest time in 200 simulations of a bad version, in seconds after the fiftieth bad
// call. A version may get calls for five seconds after that call, and most of this time is needed
// to collect the reports and to inform all daemons.
int max_seconds_after_50th_bad_call(const std::function<void(simulated_versions&)>& set)
{
  int out = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    simulated_versions versions(seed);
    set(versions);
    const auto p = versions.simulate();
    EXPECT_TRUE(p.found_bad) << "seed " << seed;
    out = std::max(out, p.seconds_after_50th_bad_call);
  }
  return out;
}

TEST(VersionEvaluatorTest, AFailingVersionIsFoundASecondAfterItsFiftiethFailure)
{
  EXPECT_LE(max_seconds_after_50th_bad_call([](simulated_versions& v) {
              v.baseline = {.fails = 0.005, .slow = 0};
              v.target = [](auto, auto) { return quality{.fails = 0.4, .slow = 0}; };
            }),
            1);
}

TEST(VersionEvaluatorTest, ASlowVersionIsFoundASecondAfterItsFiftiethSlowCall)
{
  EXPECT_LE(max_seconds_after_50th_bad_call([](simulated_versions& v) {
              v.target = [](auto, auto) { return quality{.slow = 0.8}; };
            }),
            1);
}

TEST(VersionEvaluatorTest, AVersionThatBecomesBadLateIsFoundAsSoon)
{
  EXPECT_LE(max_seconds_after_50th_bad_call([](simulated_versions& v) {
              v.baseline = {.fails = 0.01, .slow = 0};
              v.target = [](std::size_t, int s) {
                return quality{.fails = s < 15 ? 0.01 : 0.4, .slow = 0};
              };
            }),
            1);
}

TEST(VersionEvaluatorTest, AFewCallsAtOneEndpointSufficeForAVersionThatMostlyFails)
{
  EXPECT_LE(max_seconds_after_50th_bad_call([](simulated_versions& v) {
              v.baseline = {.fails = 0.005, .slow = 0};
              v.endpoints = 1;
              v.target_calls = 2;
              v.baseline_calls = 25;
              v.target = [](auto, auto) { return quality{.fails = 0.9, .slow = 0}; };
            }),
            1);
}

TEST(VersionEvaluatorTest, NamesTheRouteAndKindOfTheRegression)
{
  simulated_versions versions(1);
  version_evaluator evaluator({});
  outcomes_by_route total;
  for (int s = 0; s < 20 && !evaluator.regression(); ++s) {
    total["good"].baseline.calls += 100;
    total["good"].target[endpoint_id("e")].calls += 8;
    total["poor"].baseline.calls += 100;
    total["poor"].target[endpoint_id("e")].calls += 8;
    total["poor"].target[endpoint_id("e")].slow += 6;
    evaluator.add_counts(total, mono_time{} + std::chrono::seconds(s));
  }
  ASSERT_TRUE(evaluator.regression());
  EXPECT_EQ(evaluator.regression()->route, "poor");
  EXPECT_TRUE(evaluator.regression()->slow);
}

TEST(VersionEvaluatorTest, AVersionThatIsBadOnlyAtItsWorstEndpointsIsSuspicious)
{
  route_outcomes counts{.baseline = {.calls = 1'000, .slow = 100}};
  for (const char* id : {"e1", "e2"}) {
    counts.target[endpoint_id(id)] = {.calls = 40, .slow = 36};
  }
  for (const char* id : {"e3", "e4", "e5"}) {
    counts.target[endpoint_id(id)] = {.calls = 40, .slow = 4};
  }
  version_evaluator evaluator({});
  evaluator.add_counts({{"chat", counts}}, mono_time{100s});
  EXPECT_TRUE(evaluator.is_suspicious());
  EXPECT_EQ(evaluator.regression(), std::nullopt);
}

} // namespace
} // namespace wisteriaflow::gateway
