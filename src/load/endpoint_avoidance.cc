#include "wisteriaflow/load/endpoint_avoidance.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace wisteriaflow::load {
namespace {

endpoint_evidence evidence_at(const evidence_map& all, const endpoint_id& id)
{
  const auto it = all.find(id);
  return it == all.end() ? endpoint_evidence{} : it->second;
}

// The best 1/3 of the endpoints tell which failures the requests or the network cause. It must hold
// when more than half of the endpoints fail for reasons of their own.
constexpr std::size_t reference_part = 3;
// Answered calls that are assumed besides the counted ones, so that few calls give no low estimate.
constexpr double assumed_answers = 1;
// Bounds of the shares whose likelihood is compared for recovery. A share of 0 or 1 would make one
// call decide, and estimates from the first failures are often too low.
constexpr double max_sound_share = 0.97;
constexpr double min_failing_share = 0.4;
constexpr double max_failing_share = 0.7;

// An endpoint with fewer calls left in its decayed counts is forgotten.
constexpr double forgotten_calls = 0.1;

double mean_of_best(std::vector<double> values)
{
  const auto number = (values.size() + reference_part - 1) / reference_part;
  const auto end = values.begin() + static_cast<std::ptrdiff_t>(number);
  std::partial_sort(values.begin(), end, values.end(), std::greater<>());
  return number == 0 ? 1 : std::accumulate(values.begin(), end, 0.0) / static_cast<double>(number);
}

} // namespace

double endpoint_avoidance::new_part(const endpoint_state& it, mono_time now) const
{
  const auto elapsed = std::chrono::duration<double>(now - it.updated_at);
  return std::clamp(elapsed / options_.window, 0.0, 1.0);
}

void endpoint_avoidance::update_estimates(endpoint_state& it, const endpoint_evidence& seen,
                                          mono_time now) const
{
  const auto& counts = seen.counts;
  if (counts.failed == 0) {
    it.failing_since.reset();
  } else if (!it.failing_since) {
    it.failing_since = now;
  }
  // The few probes of a window say too little to replace the estimate of an avoided endpoint.
  if (!it.avoided) {
    it.estimate = (counts.answered + assumed_answers) / (counts.calls() + assumed_answers);
  }
  const std::chrono::duration<double> elapsed = now - it.updated_at;
  const double decay = std::exp(-elapsed / options_.common_time);
  const double part = new_part(it, now);
  it.long_answered = it.long_answered * decay + part * counts.answered;
  it.long_calls = it.long_calls * decay + part * counts.calls();
}

double endpoint_avoidance::reference(std::span<const endpoint_id> service) const
{
  std::vector<double> window_estimates;
  std::vector<double> long_estimates;
  for (const auto& id : service) {
    const auto it = known_.find(id);
    const auto& state = it == known_.end() ? endpoint_state{} : it->second;
    window_estimates.push_back(state.estimate);
    long_estimates.push_back((state.long_answered + assumed_answers) /
                             (state.long_calls + assumed_answers));
  }
  return std::min(mean_of_best(std::move(window_estimates)),
                  mean_of_best(std::move(long_estimates)));
}

bool endpoint_avoidance::is_failing(const endpoint_state& it, const endpoint_evidence& seen,
                                    double reference, mono_time now) const
{
  const bool is_enough = reference >= options_.min_reference &&
                         seen.counts.calls() >= options_.min_calls &&
                         seen.counts.failed >= options_.min_failures &&
                         seen.failing_reporters >= options_.min_reporters;
  if (!is_enough || !it.failing_since || now < *it.failing_since + options_.settle_time) {
    return false;
  }
  const double tolerated = 1 - reference * (1 - options_.tolerated_failures);
  const double n = seen.counts.calls();
  return seen.counts.failed >
         n * tolerated + options_.min_deviations * std::sqrt(n * tolerated * (1 - tolerated));
}

void endpoint_avoidance::update_recovery(endpoint_state& it, const endpoint_evidence& seen,
                                         double reference, mono_time now) const
{
  const auto& counts = seen.counts;
  if (counts.failed > 0) {
    it.clean_since.reset();
  } else if (!it.clean_since) {
    it.clean_since = now;
  }
  const double failing = std::clamp(it.estimate, min_failing_share, max_failing_share);
  const double sound = std::clamp(reference, failing, max_sound_share);
  const double gain = counts.answered * std::log(sound / failing) +
                      counts.failed * std::log((1 - sound) / (1 - failing));
  it.recovery = std::max(0.0, it.recovery + new_part(it, now) * gain);
}

bool endpoint_avoidance::has_recovered(const endpoint_state& it, double reference,
                                       mono_time now) const
{
  // The others have become no better: the cause is not in this endpoint.
  const bool is_like_others = reference < options_.min_reference ||
                              it.estimate >= reference * (1 - options_.tolerated_failures);
  const bool is_old = it.clean_since && now >= *it.clean_since + options_.estimate_ttl;
  return is_like_others || is_old || it.recovery >= std::log(options_.min_recovery_odds);
}

void endpoint_avoidance::change(const endpoint_id& id, endpoint_state& it, mono_time now)
{
  it.avoided = !it.avoided;
  it.recovery = 0;
  it.clean_since.reset();
  if (it.avoided) {
    avoided_.insert(id);
  } else {
    avoided_.erase(id);
    it.estimate = 1;
    it.failing_since = now; // the calls of the probes are still counted
  }
}

std::vector<avoidance_change> endpoint_avoidance::update(std::span<const endpoint_id> service,
                                                         const evidence_map& evidence,
                                                         mono_time now)
{
  for (const auto& id : service) {
    const auto seen = evidence_at(evidence, id);
    if (seen.counts.calls() > 0 || known_.contains(id)) {
      auto& it = known_.try_emplace(id, endpoint_state{.updated_at = now}).first->second;
      update_estimates(it, seen, now);
    }
  }
  const double best = reference(service);
  std::vector<avoidance_change> out;
  for (const auto& id : service) {
    const auto known = known_.find(id);
    if (known == known_.end()) {
      continue;
    }
    auto& it = known->second;
    const auto seen = evidence_at(evidence, id);
    if (it.avoided) {
      update_recovery(it, seen, best, now);
    }
    it.updated_at = now;
    if (it.avoided ? has_recovered(it, best, now) : is_failing(it, seen, best, now)) {
      out.push_back({.id = id, .avoided = !it.avoided, .estimate = it.estimate, .evidence = seen});
      change(id, it, now);
    }
    if (!it.avoided && seen.counts.calls() == 0 && it.long_calls < forgotten_calls) {
      known_.erase(known);
    }
  }
  return out;
}

double endpoint_avoidance::estimate(const endpoint_id& id) const
{
  const auto it = known_.find(id);
  return it == known_.end() ? 1 : it->second.estimate;
}

} // namespace wisteriaflow::load
