#include "wisteriaflow/gateway/retry_policy.h"

#include <algorithm>

namespace wisteriaflow::gateway {

using std::chrono::milliseconds;

milliseconds retry_policy::max_backoff_for(const retry_context& situation) const
{
  if (!situation.peers_relay_store) {
    return options_.min_limit;
  }
  const double seconds = static_cast<double>(situation.daemons) / options_.fleet_calls_per_second;
  const auto fair =
      std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
  return std::clamp(fair, options_.min_limit, options_.max_limit);
}

milliseconds retry_policy::backoff_after(unsigned failures, const retry_context& situation)
{
  constexpr unsigned max_doublings = 10; // the limit is reached earlier
  const auto doublings = std::min(std::max(failures, 1U) - 1, max_doublings);
  const auto longest = std::min(options_.initial * (1U << doublings), max_backoff_for(situation));
  std::uniform_int_distribution<milliseconds::rep> jitter(longest.count() / 2, longest.count());
  return milliseconds(jitter(random_));
}

} // namespace wisteriaflow::gateway
