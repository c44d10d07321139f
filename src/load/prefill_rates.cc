#include "wisteriaflow/load/prefill_rates.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace wisteriaflow::load {
namespace {

// Weight of a new sample of one endpoint. Most deviations are due to other work on it.
constexpr double slowness_gain = 0.1;
// Time constant in which an endpoint without samples returns to the rate of its service.
constexpr double slowness_seconds = 10;
// A single answer that took longer waited for something else than the endpoint's speed.
constexpr double max_slowness = 4;
constexpr double min_slowness = 0.5;

} // namespace

void prefill_rates::decay(mono_time now)
{
  const std::chrono::duration<double> elapsed = now - std::exchange(decayed_at_, now);
  const double kept = std::exp(-std::max(0.0, elapsed.count()) / slowness_seconds);
  for (auto& [endpoint, slowness] : slowness_) {
    slowness = 1 + kept * (slowness - 1);
  }
}

void prefill_rates::add(std::string_view service, const endpoint_id& endpoint,
                        const prefill_sample& sample, mono_time now)
{
  decay(now);
  auto it = models_.find(service);
  if (it == models_.end()) {
    it = models_.emplace(std::string(service), prefill_model(options_)).first;
  }
  auto& model = it->second;
  if (!model.is_valid(sample)) {
    return;
  }
  const double ratio =
      std::clamp(sample.seconds / model.seconds_for(sample.tokens), min_slowness, max_slowness);
  auto& slowness = slowness_.try_emplace(endpoint, 1.0).first->second;
  slowness += slowness_gain * (ratio - slowness);
  model.add(sample);
}

double prefill_rates::rate_of(std::string_view service, const endpoint_id& endpoint) const
{
  const auto model = models_.find(service);
  const double rate = model == models_.end() ? options_.initial_rate : model->second.rate();
  const auto slowness = slowness_.find(endpoint);
  return slowness == slowness_.end() ? rate : rate / slowness->second;
}

} // namespace wisteriaflow::load
