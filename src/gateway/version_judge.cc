#include "wisteriaflow/gateway/version_judge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

// How many times as often calls go badly on a version that the test is made for. The odds are the
// mean over these: each has most power near itself.
constexpr std::array<double, 3> excess_rates{2, 4, 12};

double bad_of(const outcome_counts& n, bool slow)
{
  return static_cast<double>(slow ? n.slow : n.failed);
}

// Adds to the logarithm of the odds what one step says, for a version on which calls go badly
// `excess` times as often.
double step_log(const outcome_counts& present, const outcome_counts& target, bool slow,
                double excess)
{
  const auto calls = static_cast<double>(present.calls + target.calls);
  if (present.calls == 0 || target.calls == 0) {
    return 0; // nothing to compare with
  }
  const double share = static_cast<double>(target.calls) / calls;
  const double if_bad = excess * share / (1 + (excess - 1) * share);
  return bad_of(target, slow) * std::log(if_bad / share) +
         bad_of(present, slow) * std::log((1 - if_bad) / (1 - share));
}

double mean_of_logs(const std::array<double, excess_rates.size()>& logs)
{
  const double highest = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  for (const double each : logs) {
    sum += std::exp(each - highest);
  }
  return highest + std::log(sum / static_cast<double>(logs.size()));
}

} // namespace

void version_judge::note(const outcomes_by_route& total, mono_time now)
{
  if (noted_at_ && now < *noted_at_ + options_.step) {
    return;
  }
  noted_at_ = now;
  const bool restarts = !restarted_at_ || now >= *restarted_at_ + options_.restart_period;
  if (restarts && starts_.size() <= options_.restarts) {
    restarted_at_ = now;
    starts_.push_back(steps_);
  }
  for (const auto& [route, counts] : total) {
    auto& history = routes_[route];
    step_counts step{.present = since(counts.present, history.noted.present)};
    for (const auto& [endpoint, n] : counts.target) {
      step.target[endpoint] = since(n, history.noted.target[endpoint]);
    }
    history.noted = counts;
    history.steps.resize(steps_); // a route that is new now
    history.steps.push_back(std::move(step));
  }
  ++steps_;
  suspicious_ = false;
  for (const auto& [route, history] : routes_) {
    judge(route, history, false);
    judge(route, history, true);
  }
}

void version_judge::judge(const std::string& route, const route_history& history, bool slow)
{
  // Half of the permitted error for the tests from the start, half for all others.
  constexpr double kinds = 2;
  const double tests = 2 * kinds * static_cast<double>(options_.routes) / options_.permitted_error;
  for (const auto first : starts_) {
    const double limit = first == 0 ? tests : tests * static_cast<double>(options_.restarts);
    judge_from(first, std::log(limit), route, history, slow);
  }
}

double version_judge::odds_of(std::size_t first_step, const route_history& history, bool slow,
                              const std::set<endpoint_id>& endpoints)
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
      logs[k] += step_log(history.steps[i].present, in_step, slow, excess_rates[k]);
    }
  }
  return mean_of_logs(logs);
}

void version_judge::judge_from(std::size_t first_step, double limit_log, const std::string& route,
                               const route_history& history, bool slow)
{
  outcome_counts present;
  std::map<endpoint_id, outcome_counts> by_endpoint;
  for (auto i = first_step; i < history.steps.size(); ++i) {
    present += history.steps[i].present;
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
    worst_first.emplace_back(-bad_of(n, slow), endpoint);
  }
  std::sort(worst_first.begin(), worst_first.end());
  constexpr std::size_t fewest_kept = 2;
  const auto number = worst_first.size();
  const auto wanted =
      static_cast<std::size_t>(std::ceil(options_.left_out * static_cast<double>(number)));
  const auto dropped = number > fewest_kept ? std::min(wanted, number - fewest_kept) : 0;
  std::set<endpoint_id> kept;
  outcome_counts target;
  for (auto i = dropped; i < number; ++i) {
    kept.insert(worst_first[i].second);
    target += by_endpoint.at(worst_first[i].second);
  }
  const double odds_log = odds_of(first_step, history, slow, kept);
  // For suspicion all endpoints count: on a route with few calls the others may say too little, and
  // a good version with ill endpoints is only late.
  std::set<endpoint_id> all;
  for (const auto& [endpoint, n] : by_endpoint) {
    all.insert(endpoint);
  }
  const double odds_of_all = odds_of(first_step, history, slow, all);
  suspicious_ = suspicious_ || odds_of_all >= limit_log + std::log(options_.suspicion);
  if (odds_log >= limit_log && !badness_) {
    badness_ = version_badness{.route = route,
                               .slow = slow,
                               .present = present,
                               .target = target,
                               .endpoints = kept.size(),
                               .odds_log = odds_log};
  }
}

} // namespace wisteriaflow::gateway
