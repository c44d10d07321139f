#include "wisteriaflow/gateway/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace wisteriaflow::gateway {
namespace {

double seconds(mono_time::duration d)
{
  return std::chrono::duration<double>(d).count();
}

} // namespace

demand_meter::service_state& demand_meter::state_of(std::string_view service)
{
  const auto it = services_.find(service);
  if (it != services_.end()) {
    return it->second;
  }
  return services_.emplace(service, service_state{.speed = options_.initial_speed}).first->second;
}

void demand_meter::on_sent(std::string_view service, int tokens)
{
  state_of(service).sent_tokens += tokens;
  ++prompts_sent_;
}

// Only a large prompt that met no queue measures the engine's speed: for a small one the time
// consists mostly of network latency and of one engine step. Even then most samples are too low,
// because other work shares the engine, and a few are too high, because more of the prompt was
// cached than this daemon knows. The estimate is therefore an upper quantile, tracked by stochastic
// approximation.
void demand_meter::on_first_token(std::string_view service, const routing::sent_attempt& work,
                                  mono_time now)
{
  constexpr int min_tokens = 3'000;
  constexpr double quantile = 0.75;
  constexpr double step = 0.06; // of the current estimate
  const double elapsed = seconds(now - work.sent_at);
  if (!work.sent_when_idle || work.prefill_tokens < min_tokens || elapsed <= 0) {
    return;
  }
  auto& speed = state_of(service).speed;
  const bool above = work.prefill_tokens / elapsed > speed;
  speed *= 1 + step * (above ? quantile : quantile - 1);
}

double demand_meter::smoothing_seconds(std::size_t daemons) const
{
  const double fleet_rate = prompt_rate_ * static_cast<double>(daemons);
  return std::clamp(options_.prompts_per_smoothing_time / std::max(fleet_rate, 1.0),
                    seconds(options_.min_smoothing_time), seconds(options_.max_smoothing_time));
}

void demand_meter::update_rates(std::size_t daemons, mono_time now)
{
  const double elapsed = updated_at_ ? seconds(now - *updated_at_) : 0;
  updated_at_ = now;
  if (elapsed <= 0) {
    return;
  }
  const double rate_kept = std::exp(-elapsed / seconds(options_.max_smoothing_time));
  prompt_rate_ = rate_kept * prompt_rate_ + (1 - rate_kept) * prompts_sent_ / elapsed;
  prompts_sent_ = 0;
  const double kept = std::exp(-elapsed / smoothing_seconds(daemons));
  for (auto& [service, it] : services_) {
    rates_[service] = kept * rates_[service] + (1 - kept) * it.sent_tokens / elapsed;
    it.sent_tokens = 0;
  }
}

double demand_meter::busy_endpoints(std::string_view service, const fleet_demand& demand) const
{
  const auto it = services_.find(service);
  const double speed = it == services_.end() ? options_.initial_speed : it->second.speed;
  const double excess_tokens = std::max(
      0.0, demand.waiting_tokens - demand.tokens_per_second * seconds(options_.normal_wait));
  const double backlog = std::min(excess_tokens / seconds(options_.drain_time),
                                  options_.max_backlog_ratio * demand.tokens_per_second);
  return (demand.tokens_per_second + backlog) / speed;
}

} // namespace wisteriaflow::gateway
