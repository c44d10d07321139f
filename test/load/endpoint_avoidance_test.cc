#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/load/endpoint_avoidance.h"
#include "wisteriaflow/load/probe_schedule.h"
#include "wisteriaflow/load/usable_endpoints.h"

namespace wisteriaflow::load {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const std::vector<endpoint_id> service{endpoint_id("a"), endpoint_id("b"), endpoint_id("c"),
                                       endpoint_id("d")};

class EndpointAvoidanceTest : public testing::Test {
 protected:
  // Updates several times a second for a while with this evidence of endpoint a.
  void see(outcome_counts counts, std::chrono::milliseconds time, std::uint32_t reporters = 3)
  {
    for (const auto end = now_ + time; now_ < end; now_ += 200ms) {
      avoidance_.update(service, {{service[0], {counts, reporters}}}, now_);
    }
  }

  [[nodiscard]] bool is_avoided() const { return avoidance_.is_avoided(service[0]); }

  endpoint_avoidance avoidance_{{}};
  mono_time now_ = start;
};

TEST_F(EndpointAvoidanceTest, AvoidsAnEndpointThatFailsNearlyHalfOfItsCalls)
{
  see({.answered = 8, .failed = 7}, 2s);
  EXPECT_TRUE(is_avoided());
}

TEST_F(EndpointAvoidanceTest, KeepsAnEndpointThatFailsASeventhOfItsCalls)
{
  see({.answered = 24, .failed = 4}, 10s);
  EXPECT_FALSE(is_avoided());
}

TEST_F(EndpointAvoidanceTest, OneReporterAloneEjectsNothing)
{
  see({.failed = 50}, 10s, 1);
  EXPECT_FALSE(is_avoided());
}

// Guards against a verdict before the daemons with answered calls have stated them.
TEST_F(EndpointAvoidanceTest, WaitsForTheStatementsOfOthers)
{
  see({.failed = 6}, 600ms);
  EXPECT_FALSE(is_avoided());
}

TEST_F(EndpointAvoidanceTest, KeepsAllEndpointsThatFailAlike)
{
  evidence_map all;
  for (const auto& id : service) {
    all[id] = {{.answered = 12, .failed = 8}, 5};
  }
  for (; now_ < start + 10s; now_ += 200ms) {
    avoidance_.update(service, all, now_);
  }
  EXPECT_EQ(avoidance_.avoided_count(), 0U);
}

TEST_F(EndpointAvoidanceTest, UsesAnEndpointAgainOnceProbesSucceed)
{
  see({.answered = 8, .failed = 7}, 2s);
  see({.answered = 5}, 6s);
  EXPECT_FALSE(is_avoided());
}

TEST_F(EndpointAvoidanceTest, AFewAnsweredProbesAreNoRecovery)
{
  see({.answered = 8, .failed = 7}, 2s);
  see({.answered = 2}, 2s);
  see({.answered = 2, .failed = 1}, 4s);
  EXPECT_TRUE(is_avoided());
}

TEST_F(EndpointAvoidanceTest, DiscardsAnOldEstimate)
{
  see({.answered = 8, .failed = 7}, 2s);
  see({}, 9s);
  EXPECT_FALSE(is_avoided());
}

TEST_F(EndpointAvoidanceTest, ARestartedEndpointIsNotAvoided)
{
  see({.answered = 8, .failed = 7}, 2s);
  avoidance_.forget(service[0]);
  EXPECT_FALSE(is_avoided());
}

// Guards against overload of the four or five endpoints of a plain service when one is avoided.
TEST(UsableEndpointsTest, WhatExceedsTheSoundCapacityGoesToTheBestAvoidedEndpoint)
{
  const std::vector<usable_candidate> all{{.slots = 6, .in_flight = 6},
                                          {.avoided = true, .estimate = 0.3, .slots = 6},
                                          {.avoided = true, .estimate = 0.5, .slots = 6}};
  EXPECT_EQ(usable_endpoints(all, 0.0), std::vector<std::size_t>{2});
  EXPECT_EQ(usable_endpoints(all, 0.5), std::vector<std::size_t>{0});
}

TEST(UsableEndpointsTest, OneAvoidedEndpointIsUsedWhenThereIsNoOther)
{
  const std::vector<usable_candidate> all{{.avoided = true, .estimate = 0.3},
                                          {.avoided = true, .estimate = 0.2}};
  EXPECT_EQ(usable_endpoints(all, 0.9), std::vector<std::size_t>{0});
}

RC_GTEST_PROP(UsableEndpointsPropertyTest, NoAvoidedEndpointIsUsedWhileTheSoundOnesHaveCapacity, ())
{
  std::vector<usable_candidate> all;
  const auto number = *rc::gen::inRange<std::size_t>(1, 20);
  all.reserve(number);
  for (std::size_t i = 0; i < number; ++i) {
    all.push_back({.avoided = i > 0 && *rc::gen::arbitrary<bool>(),
                   .slots = 10,
                   .in_flight = *rc::gen::inRange(0U, 10U)});
  }
  for (const auto i : usable_endpoints(all, *rc::gen::inRange(0, 100) / 100.0)) {
    RC_ASSERT(!all[i].avoided);
  }
}

class ProbeScheduleTest : public testing::Test {
 protected:
  // Number of probes at one endpoint in ten minutes with this number of calls a second.
  int probes(double calls_per_second, const probe_terms& terms)
  {
    const std::chrono::duration<double> step(1 / calls_per_second);
    int out = 0;
    for (auto now = start; now < start + 600s;
         now += std::chrono::duration_cast<mono_time::duration>(step)) {
      schedule_.on_call();
      out += schedule_.take(service[0], terms, now) ? 1 : 0;
    }
    return out;
  }

  probe_schedule schedule_{1};
};

TEST_F(ProbeScheduleTest, DaemonsShareTheProbesOfAnEndpoint)
{
  EXPECT_NEAR(probes(50, {.daemons = 20, .may_be_repeated = true}), 60, 20);
}

TEST_F(ProbeScheduleTest, FewOfADaemonsCallsAreProbes)
{
  EXPECT_LE(probes(5, {.may_be_repeated = true}), 0.04 * 5 * 600);
}

TEST_F(ProbeScheduleTest, PrefersCallsThatMayBeRepeated)
{
  int repeatable = 0;
  int others = 0;
  for (auto now = start; now < start + 600s; now += 40ms) {
    schedule_.on_call();
    others += schedule_.take(service[0], {.may_be_repeated = false}, now) ? 1 : 0;
    schedule_.on_call();
    repeatable += schedule_.take(service[0], {.may_be_repeated = true}, now + 20ms) ? 1 : 0;
  }
  EXPECT_GT(repeatable, 300);
  EXPECT_LT(others, repeatable / 2);
}

} // namespace
} // namespace wisteriaflow::load
