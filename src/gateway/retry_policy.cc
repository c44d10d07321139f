#include "wisteriaflow/gateway/retry_policy.h"

#include <algorithm>

namespace wisteriaflow::gateway {

using std::chrono::milliseconds;

milliseconds retry_policy::limit_in(const retry_situation& situation) const
{
  if (!situation.peers_tell) {
    return options_.least_limit;
  }
  const double seconds = static_cast<double>(situation.daemons) / options_.fleet_calls_per_second;
  const auto fair =
      std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
  return std::clamp(fair, options_.least_limit, options_.most_limit);
}

milliseconds retry_policy::pause_after(unsigned failures, const retry_situation& situation)
{
  constexpr unsigned most_doublings = 10; // the limit is reached well before
  const auto doublings = std::min(std::max(failures, 1U) - 1, most_doublings);
  const auto longest = std::min(options_.first * (1U << doublings), limit_in(situation));
  std::uniform_int_distribution<milliseconds::rep> jitter(longest.count() / 2, longest.count());
  return milliseconds(jitter(random_));
}

} // namespace wisteriaflow::gateway
