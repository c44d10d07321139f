#include "wisteriaflow/gateway/version_evaluator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

// Ratios of bad calls on the target to bad calls on the baseline that the test is designed for. The
// odds are the mean over these ratios: each has the most power near itself.
constexpr std::array<double, 3> excess_rates{2, 4, 12};

double bad_calls(const outcome_counts& n, bool slow)
{
  return static_cast<double>(slow ? n.slow : n.failed);
}

// Returns the log odds that one step contributes, for a target on which calls go badly `excess`
// times as often.
double step_log_odds(const outcome_counts& baseline, const outcome_counts& target, bool slow,
                     double excess)
{
  const auto calls = static_cast<double>(baseline.calls + target.calls);
  if (baseline.calls == 0 || target.calls == 0) {
    return 0; // nothing to compare with
  }
  const double share = static_cast<double>(target.calls) / calls;
  const double if_bad = excess * share / (1 + (excess - 1) * share);
  return bad_calls(target, slow) * std::log(if_bad / share) +
         bad_calls(baseline, slow) * std::log((1 - if_bad) / (1 - share));
}

double log_mean_exp(const std::array<double, excess_rates.size()>& logs)
{
  const double highest = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  for (const double each : logs) {
    sum += std::exp(each - highest);
  }
  return highest + std::log(sum / static_cast<double>(logs.size()));
}

} // namespace

void version_evaluator::add_counts(const outcomes_by_route& total, mono_time now)
{
  if (last_step_at_ && now < *last_step_at_ + options_.min_step) {
    return;
  }
  last_step_at_ = now;
  const bool restarts = !restarted_at_ || now >= *restarted_at_ + options_.restart_period;
  if (restarts && test_starts_.size() <= options_.restarts) {
    restarted_at_ = now;
    test_starts_.push_back(steps_);
  }
  for (const auto& [route, counts] : total) {
    auto& history = routes_[route];
    step_counts step{.baseline = counts_since(counts.baseline, history.last_counts.baseline)};
    for (const auto& [endpoint, n] : counts.target) {
      step.target[endpoint] = counts_since(n, history.last_counts.target[endpoint]);
    }
    history.last_counts = counts;
    history.steps.resize(steps_); // for a route that is new in this step
    history.steps.push_back(std::move(step));
  }
  ++steps_;
  suspicious_ = false;
  for (const auto& [route, history] : routes_) {
    evaluate(route, history, false);
    evaluate(route, history, true);
  }
}

void version_evaluator::evaluate(const std::string& route, const route_history& history, bool slow)
{
  // Half of the permitted error for the tests from the start, half for all others.
  constexpr double kinds = 2;
  const double tests =
      2 * kinds * static_cast<double>(options_.routes) / options_.max_false_positive_rate;
  for (const auto first : test_starts_) {
    const double limit = first == 0 ? tests : tests * static_cast<double>(options_.restarts);
    evaluate_from(first, std::log(limit), route, history, slow);
  }
}

double version_evaluator::log_odds_of(std::size_t first_step, const route_history& history,
                                      bool slow, const std::set<endpoint_id>& endpoints)
{
  std::array<double, excess_rates.size()> logs{};
  for (auto i = first_step; i < history.steps.size(); ++i) {
    outcome_counts in_step;
    for (const auto& [endpoint, n] : history.steps[i].target) {
      if (endpoints.contains(endpoint)) {
        in_step += n;
      }
    }
    for (std::size_t k = 0; k < logs.size(); ++k) {
      logs[k] += step_log_odds(history.steps[i].baseline, in_step, slow, excess_rates[k]);
    }
  }
  return log_mean_exp(logs);
}

void version_evaluator::evaluate_from(std::size_t first_step, double log_limit,
                                      const std::string& route, const route_history& history,
                                      bool slow)
{
  outcome_counts baseline;
  std::map<endpoint_id, outcome_counts> by_endpoint;
  for (auto i = first_step; i < history.steps.size(); ++i) {
    baseline += history.steps[i].baseline;
    for (const auto& [endpoint, n] : history.steps[i].target) {
      by_endpoint[endpoint] += n;
    }
  }
  std::erase_if(by_endpoint, [](const auto& it) { return it.second.calls == 0; });
  if (by_endpoint.empty()) {
    return;
  }
  std::vector<std::pair<double, endpoint_id>> worst_first;
  worst_first.reserve(by_endpoint.size());
  for (const auto& [endpoint, n] : by_endpoint) {
    worst_first.emplace_back(-bad_calls(n, slow), endpoint);
  }
  std::sort(worst_first.begin(), worst_first.end());
  constexpr std::size_t min_kept = 2;
  const auto endpoint_count = worst_first.size();
  const auto excluded_wanted = static_cast<std::size_t>(
      std::ceil(options_.excluded_fraction * static_cast<double>(endpoint_count)));
  const auto excluded =
      endpoint_count > min_kept ? std::min(excluded_wanted, endpoint_count - min_kept) : 0;
  std::set<endpoint_id> kept;
  outcome_counts target;
  for (auto i = excluded; i < endpoint_count; ++i) {
    kept.insert(worst_first[i].second);
    target += by_endpoint.at(worst_first[i].second);
  }
  const double log_odds = log_odds_of(first_step, history, slow, kept);
  // A suspicion is based on all endpoints: on a route with few calls, those left after the
  // exclusion may have too few calls for a test, and a wrong suspicion only delays a good version
  // that has faulty endpoints.
  std::set<endpoint_id> all;
  for (const auto& [endpoint, n] : by_endpoint) {
    all.insert(endpoint);
  }
  const double log_odds_of_all = log_odds_of(first_step, history, slow, all);
  suspicious_ = suspicious_ || log_odds_of_all >= log_limit + std::log(options_.suspicion_ratio);
  if (log_odds >= log_limit && !regression_) {
    regression_ = version_regression{.route = route,
                                     .slow = slow,
                                     .baseline = baseline,
                                     .target = target,
                                     .endpoints = kept.size(),
                                     .log_odds = log_odds};
  }
}

} // namespace wisteriaflow::gateway
