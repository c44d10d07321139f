#include "wisteriaflow/gateway/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace wisteriaflow::gateway {

bool endpoint_health::on_trouble(const endpoint_id& id, endpoint_trouble kind, mono_time now)
{
  auto& it = known_[id];
  it.trouble += kind == endpoint_trouble::failed ? 1.0 : options_.trouble_limit;
  if (it.trouble < options_.trouble_limit) {
    return false;
  }
  constexpr double most_doublings = 8;
  const double doublings = std::min(it.trouble - options_.trouble_limit, most_doublings);
  const auto backoff = std::chrono::duration_cast<std::chrono::milliseconds>(
      options_.trouble_backoff * std::exp2(doublings));
  const bool was_in = now >= it.left_out_until;
  it.left_out_until = now + std::min(backoff, options_.trouble_backoff_limit);
  if (kind == endpoint_trouble::unreachable) {
    it.unreachable_until = it.left_out_until;
  }
  return was_in;
}

// The time that it is left out runs on: what succeeds now may have been sent before the trouble.
void endpoint_health::on_success(const endpoint_id& id)
{
  const auto it = known_.find(id);
  if (it != known_.end()) {
    it->second.trouble = std::max(0.0, it->second.trouble - options_.success_relief);
  }
}

mono_time endpoint_health::left_out_until(const endpoint_id& id) const
{
  const auto it = known_.find(id);
  return it == known_.end() ? mono_time{} : it->second.left_out_until;
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
