#include "wisteriaflow/gateway/retry_time.h"

#include <algorithm>
#include <chrono>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Wait if it is unknown when capacity becomes available: the time in which all daemons detect that
// an endpoint is failing.
constexpr milliseconds default_wait{250};
// A wait shorter than the round trip to the caller doesn't spread the calls.
constexpr milliseconds min_wait{50};
// Each rank returns within this fraction of the wait, after the ranks before it. The first two
// ranks together take as long as the wait, so that the queue has drained by the same amount again
// when the third rank returns.
constexpr double rank_width = 0.5;
constexpr int last_rank = 3; // larger ranks are treated like this one

} // namespace

mono_time retry_time(const refused_call& call, std::mt19937_64& rng)
{
  const auto until_available = call.available_at.value_or(call.now + default_wait) - call.now;
  const auto wait = std::max<mono_time::duration>(until_available, min_wait);
  const int rank = std::clamp(call.rank, 0, last_rank);
  const double within_rank = std::uniform_real_distribution<double>(0, 1)(rng);
  const std::chrono::duration<double> delay = wait * (rank_width * (rank + within_rank));
  return call.now + wait + std::chrono::duration_cast<mono_time::duration>(delay);
}

} // namespace wisteriaflow::gateway
