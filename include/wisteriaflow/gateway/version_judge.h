// Tells a bad version from a good one by how calls fare on it, beside the present version's calls
// of the same route at the same time.
//
// The test is sequential: it may be looked at as often as wanted. If the versions are equally good,
// a call that goes badly is as likely to be one as the other's, in proportion to their calls. For
// each such call the odds of a bad version against that are multiplied, which makes a nonnegative
// martingale if the version is good: by Ville's inequality it ever exceeds c with a probability of
// at most 1 / c (Ramdas, Gruenwald, Vovk, Shafer: "Game-theoretic statistics and safe anytime-valid
// inference", 2023). One such test runs from the start for each route and kind of badness, and one
// from each restart, since a version may turn bad later; the limits divide the permitted error
// among them.
//
// Endpoints may be ill for reasons of their own, so the worst of the target's are left out before
// anything is concluded: a bad version shows on the others as well. Leaving out the worst only
// lowers the odds, so the bound on wrong conclusions holds.
//
//   version_judge judge({});
//   judge.note(rows.total(order), now);          // about once a second
//   if (const auto why = judge.badness()) { ... roll back; *why says which route and how ... }

#ifndef WISTERIAFLOW_GATEWAY_VERSION_JUDGE_H_
#define WISTERIAFLOW_GATEWAY_VERSION_JUDGE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/version_counts.h"

namespace wisteriaflow::gateway {

struct version_judge_options {
  // Probability of a wrong conclusion over a whole roll-out, divided evenly between the tests from
  // the start and the later ones.
  double permitted_error = 0.005;
  // Tests that the permitted error is divided among: routes, times two kinds of badness, times
  // restarts.
  std::size_t routes = 6;
  std::size_t restarts = 12;
  // A test begins anew after this, up to as many times.
  std::chrono::milliseconds restart_period{3'000};
  // Counts are compared in steps of at least this.
  std::chrono::milliseconds step{800};
  // Part of the target's endpoints, the worst, that are left out, rounded up; two stay.
  double left_out = 0.4;
  // Odds, as a part of those that conclude, from which a version is under suspicion. All endpoints
  // count for it.
  double suspicion = 0.01;
};

// Why a version is bad.
struct version_badness {
  std::string route;
  bool slow = false;         // or its answers are failures
  outcome_counts present;    // over the test's time
  outcome_counts target;     // of the endpoints that were not left out
  std::size_t endpoints = 0; // of those
  double odds_log = 0;       // natural logarithm

  friend bool operator==(const version_badness&, const version_badness&) = default;
};

// Not thread-safe. One for each order.
class version_judge {
 public:
  explicit version_judge(version_judge_options options) : options_(options) {}

  // The fleet's counts so far.
  void note(const outcomes_by_route& total, mono_time now);

  // Why the version is bad, once that is concluded; the conclusion stays.
  [[nodiscard]] const std::optional<version_badness>& badness() const { return badness_; }

  // Whether the version may be bad, and more calls should tell.
  [[nodiscard]] bool is_suspicious() const { return suspicious_; }

 private:
  // What came in one step, of one route.
  struct step_counts {
    outcome_counts present;
    std::map<endpoint_id, outcome_counts> target;
  };

  struct route_history {
    route_outcomes noted; // as of the last step
    std::vector<step_counts> steps;
  };

  // Logarithm of the odds that these endpoints' version is bad.
  static double odds_of(std::size_t first_step, const route_history& history, bool slow,
                        const std::set<endpoint_id>& endpoints);
  void judge(const std::string& route, const route_history& history, bool slow);
  void judge_from(std::size_t first_step, double limit_log, const std::string& route,
                  const route_history& history, bool slow);

  version_judge_options options_;
  std::map<std::string, route_history> routes_;
  std::vector<std::size_t> starts_; // step at which each test began
  std::optional<mono_time> noted_at_;
  std::optional<mono_time> restarted_at_;
  std::size_t steps_ = 0;
  std::optional<version_badness> badness_;
  bool suspicious_ = false;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_JUDGE_H_
