// Plays calls on two versions and asks the judge, many times over: how often a good version is
// taken for a bad one, and how many calls a bad one gets before it is known.

#include <functional>
#include <random>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/version_judge.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

// Probabilities that a call fails, and that it is slow.
struct quality {
  double fails = 0;
  double slow = 0.15;
};

struct played {
  bool bad = false;
  std::uint64_t calls = 0; // at the target, until it was known
  std::uint64_t bad_calls = 0;
  int seconds_after_fiftieth = 0; // bad call, until it was known
};

class played_versions {
 public:
  explicit played_versions(unsigned seed) : random_(seed) {}

  int present_calls = 200; // a second
  int target_calls = 16;
  std::size_t endpoints = 5;
  int seconds = 30;
  quality present;
  // Of an endpoint of the target in a second.
  std::function<quality(std::size_t endpoint, int second)> target = [](std::size_t, int) {
    return quality{};
  };

  played play()
  {
    version_judge judge({});
    outcomes_by_route total;
    played out;
    for (int s = 0; s < seconds; ++s) {
      auto& counts = total["r"];
      for (int i = 0; i < present_calls; ++i) {
        add(counts.present, present);
      }
      for (int i = 0; i < target_calls; ++i) {
        const auto e = random_() % endpoints;
        auto& n = counts.target[endpoint_id("e" + std::to_string(e))];
        const auto before = n.failed + n.slow;
        add(n, target(e, s));
        ++out.calls;
        out.bad_calls += n.failed + n.slow > before ? 1 : 0;
      }
      judge.note(total, mono_time{} + std::chrono::seconds(s));
      out.seconds_after_fiftieth += out.bad_calls >= 50 ? 1 : 0;
      if (judge.badness()) {
        out.bad = true;
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

// Of 1,000 plays.
int taken_for_bad(const std::function<void(played_versions&)>& set)
{
  int out = 0;
  for (unsigned seed = 0; seed < 1'000; ++seed) {
    played_versions versions(seed);
    set(versions);
    out += versions.play().bad ? 1 : 0;
  }
  return out;
}

TEST(VersionJudgeTest, FewerThanOneGoodVersionIn200IsTakenForBad)
{
  EXPECT_LT(taken_for_bad([](played_versions& v) {
              v.present.fails = 0.005;
              v.target = [](auto, auto) { return quality{.fails = 0.005}; };
            }),
            5);
}

TEST(VersionJudgeTest, AServiceThatOftenFailsMakesNoVersionBad)
{
  EXPECT_LT(taken_for_bad([](played_versions& v) {
              v.present.fails = 0.3;
              v.target = [](auto, auto) { return quality{.fails = 0.3}; };
            }),
            5);
}

TEST(VersionJudgeTest, TroubleOfAllEndpointsAtOnceIsNotTheVersions)
{
  EXPECT_LT(taken_for_bad([](played_versions& v) {
              v.present.fails = 0.45; // as after a fault of the platform
              v.target = [](auto, auto) { return quality{.fails = 0.45}; };
            }),
            5);
}

TEST(VersionJudgeTest, OneIllEndpointIsNotTheVersion)
{
  EXPECT_LT(taken_for_bad([](played_versions& v) {
              v.target = [](std::size_t e, int) { return quality{.fails = e == 1 ? 0.8 : 0.0}; };
            }),
            5);
}

TEST(VersionJudgeTest, TwoSlowEndpointsOfFiveAreNotTheVersion)
{
  EXPECT_LT(taken_for_bad([](played_versions& v) {
              v.target = [](std::size_t e, int) { return quality{.slow = e < 2 ? 0.9 : 0.15}; };
            }),
            5);
}

// The latest of 200 plays of a bad version, in seconds after the call that was the fiftieth to go
// badly. A version may get calls for five seconds after that, and most of them are needed to hear
// of it and to tell all daemons.
int latest_after_fiftieth(const std::function<void(played_versions&)>& set)
{
  int out = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    played_versions versions(seed);
    set(versions);
    const auto p = versions.play();
    EXPECT_TRUE(p.bad) << "seed " << seed;
    out = std::max(out, p.seconds_after_fiftieth);
  }
  return out;
}

TEST(VersionJudgeTest, AFailingVersionIsKnownASecondAfterItsFiftiethFailure)
{
  EXPECT_LE(latest_after_fiftieth([](played_versions& v) {
              v.present = {.fails = 0.005, .slow = 0};
              v.target = [](auto, auto) { return quality{.fails = 0.4, .slow = 0}; };
            }),
            1);
}

TEST(VersionJudgeTest, ASlowVersionIsKnownASecondAfterItsFiftiethSlowCall)
{
  EXPECT_LE(latest_after_fiftieth([](played_versions& v) {
              v.target = [](auto, auto) { return quality{.slow = 0.8}; };
            }),
            1);
}

TEST(VersionJudgeTest, AVersionThatTurnsBadLateIsKnownAsSoon)
{
  EXPECT_LE(latest_after_fiftieth([](played_versions& v) {
              v.present = {.fails = 0.01, .slow = 0};
              v.target = [](std::size_t, int s) {
                return quality{.fails = s < 15 ? 0.01 : 0.4, .slow = 0};
              };
            }),
            1);
}

TEST(VersionJudgeTest, AFewCallsOfFewEndpointsAreEnoughForOneThatFailsAll)
{
  EXPECT_LE(latest_after_fiftieth([](played_versions& v) {
              v.present = {.fails = 0.005, .slow = 0};
              v.endpoints = 1;
              v.target_calls = 2;
              v.present_calls = 25;
              v.target = [](auto, auto) { return quality{.fails = 0.9, .slow = 0}; };
            }),
            1);
}

TEST(VersionJudgeTest, SaysWhatIsBad)
{
  played_versions versions(1);
  version_judge judge({});
  outcomes_by_route total;
  for (int s = 0; s < 20 && !judge.badness(); ++s) {
    total["good"].present.calls += 100;
    total["good"].target[endpoint_id("e")].calls += 8;
    total["poor"].present.calls += 100;
    total["poor"].target[endpoint_id("e")].calls += 8;
    total["poor"].target[endpoint_id("e")].slow += 6;
    judge.note(total, mono_time{} + std::chrono::seconds(s));
  }
  ASSERT_TRUE(judge.badness());
  EXPECT_EQ(judge.badness()->route, "poor");
  EXPECT_TRUE(judge.badness()->slow);
}

TEST(VersionJudgeTest, OneThatIsBadOnlyAtItsWorstEndpointsIsUnderSuspicion)
{
  route_outcomes counts{.present = {.calls = 1'000, .slow = 100}};
  for (const char* id : {"e1", "e2"}) {
    counts.target[endpoint_id(id)] = {.calls = 40, .slow = 36};
  }
  for (const char* id : {"e3", "e4", "e5"}) {
    counts.target[endpoint_id(id)] = {.calls = 40, .slow = 4};
  }
  version_judge judge({});
  judge.note({{"chat", counts}}, mono_time{100s});
  EXPECT_TRUE(judge.is_suspicious());
  EXPECT_EQ(judge.badness(), std::nullopt);
}

} // namespace
} // namespace wisteriaflow::gateway
