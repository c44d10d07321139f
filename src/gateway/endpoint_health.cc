#include "wisteriaflow/gateway/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace wisteriaflow::gateway {

bool endpoint_health::on_failure(const endpoint_id& id, endpoint_failure kind, mono_time now)
{
  auto& it = known_[id];
  it.failure_score += kind == endpoint_failure::failed ? 1.0 : options_.ejection_threshold;
  if (it.failure_score < options_.ejection_threshold) {
    return false;
  }
  constexpr double max_doublings = 8;
  const double doublings = std::min(it.failure_score - options_.ejection_threshold, max_doublings);
  const auto backoff = std::chrono::duration_cast<std::chrono::milliseconds>(
      options_.ejection_backoff * std::exp2(doublings));
  const bool was_available = now >= it.ejected_until;
  it.ejected_until = now + std::min(backoff, options_.max_ejection);
  if (kind == endpoint_failure::unreachable) {
    it.unreachable_until = it.ejected_until;
  }
  return was_available;
}

// Doesn't shorten an ejection: the successful request may have been sent before the failure.
void endpoint_health::on_success(const endpoint_id& id)
{
  const auto it = known_.find(id);
  if (it != known_.end()) {
    it->second.failure_score = std::max(0.0, it->second.failure_score - options_.success_credit);
  }
}

mono_time endpoint_health::ejected_until(const endpoint_id& id) const
{
  const auto it = known_.find(id);
  return it == known_.end() ? mono_time{} : it->second.ejected_until;
}

std::vector<endpoint_id> endpoint_health::unreachable(mono_time now) const
{
  std::vector<endpoint_id> out;
  for (const auto& [id, it] : known_) {
    if (now < it.unreachable_until) {
      out.push_back(id);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
