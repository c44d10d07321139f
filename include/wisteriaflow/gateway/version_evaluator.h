// Decides whether the target version of a rollout is worse than the baseline, by comparing the
// outcomes of their calls on the same route at the same time.
//
// The test is sequential: it may be evaluated as often as wanted. If the versions are equally good,
// a bad outcome is as likely to belong to either version, in proportion to their calls. Each bad
// outcome multiplies the odds of a bad target against this hypothesis. If the target is good, the
// product is a nonnegative martingale, so by Ville's inequality it ever exceeds c with a
// probability of at most 1 / c (Ramdas, Gruenwald, Vovk, Shafer: "Game-theoretic statistics and
// safe anytime-valid inference", 2023). For each route and kind of bad outcome one such test runs
// from the start, and one more from each restart, because a version may become bad later. The
// limits divide the permitted error among the tests.
//
// Endpoints may be faulty for other reasons than their version, so the worst endpoints of the
// target are excluded before a conclusion: a bad version shows on the others as well. Excluding the
// worst only lowers the odds, so the bound on wrong conclusions holds.
//
//   version_evaluator evaluator({});
//   evaluator.add_counts(rows.total(order), now);      // about once per second
//   if (const auto why = evaluator.regression()) { ... roll back; *why has route and counts ... }

#ifndef WISTERIAFLOW_GATEWAY_VERSION_EVALUATOR_H_
#define WISTERIAFLOW_GATEWAY_VERSION_EVALUATOR_H_

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

struct version_evaluator_options {
  // Probability of a wrong conclusion over a whole rollout, divided evenly between the tests from
  // the start and the later ones.
  double max_false_positive_rate = 0.005;
  // Number of tests among which the permitted error is divided: routes, times two kinds of bad
  // outcome, times restarts.
  std::size_t routes = 6;
  std::size_t restarts = 12;
  // A new test starts after this time, up to `restarts` times.
  std::chrono::milliseconds restart_period{3'000};
  // Counts are compared in steps of at least this time.
  std::chrono::milliseconds min_step{800};
  // Fraction of the target's endpoints, the worst ones, that are excluded. Rounded up, but at least
  // two endpoints are kept.
  double excluded_fraction = 0.4;
  // A version is suspicious from this fraction of the odds that lead to a conclusion. All endpoints
  // count for it.
  double suspicion_ratio = 0.01;
};

// Evidence that the target is worse.
struct version_regression {
  std::string route;
  bool slow = false;         // otherwise its calls failed
  outcome_counts baseline;   // over the time of the test
  outcome_counts target;     // of the endpoints that were not excluded
  std::size_t endpoints = 0; // number of these endpoints
  double log_odds = 0;       // natural logarithm

  friend bool operator==(const version_regression&, const version_regression&) = default;
};

// Not thread-safe. One instance for each order.
class version_evaluator {
 public:
  explicit version_evaluator(version_evaluator_options options) : options_(options) {}

  // Adds the fleet's counts so far, which are totals since the order began.
  void add_counts(const outcomes_by_route& total, mono_time now);

  // The evidence, once the target is found to be worse. It stays set.
  [[nodiscard]] const std::optional<version_regression>& regression() const { return regression_; }

  // Whether the target may be worse and more calls are needed to decide.
  [[nodiscard]] bool is_suspicious() const { return suspicious_; }

 private:
  // Outcomes of one step on one route.
  struct step_counts {
    outcome_counts baseline;
    std::map<endpoint_id, outcome_counts> target;
  };

  struct route_history {
    route_outcomes last_counts; // as of the last step
    std::vector<step_counts> steps;
  };

  // Logarithm of the odds that the version is bad, from the outcomes at these endpoints.
  static double log_odds_of(std::size_t first_step, const route_history& history, bool slow,
                            const std::set<endpoint_id>& endpoints);
  void evaluate(const std::string& route, const route_history& history, bool slow);
  void evaluate_from(std::size_t first_step, double log_limit, const std::string& route,
                     const route_history& history, bool slow);

  version_evaluator_options options_;
  std::map<std::string, route_history> routes_;
  std::vector<std::size_t> test_starts_; // step at which each test started
  std::optional<mono_time> last_step_at_;
  std::optional<mono_time> restarted_at_;
  std::size_t steps_ = 0;
  std::optional<version_regression> regression_;
  bool suspicious_ = false;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_EVALUATOR_H_
