#include "wisteriaflow/gateway/return_time.h"

#include <algorithm>
#include <chrono>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Where it is not known when there will be room: the time in which all daemons notice that an
// endpoint is in trouble.
constexpr milliseconds unknown_wait{250};
// A wait shorter than the way to the caller and back spreads nothing.
constexpr milliseconds shortest_wait{50};
// Each rank returns within this part of the wait, after the ranks before it: as long as the wait
// for the first two, so that the queue has drained as far again when the third comes.
constexpr double rank_width = 0.5;
constexpr int last_rank = 3; // those beyond return with it

} // namespace

mono_time return_time(const refused_call& call, std::mt19937_64& rng)
{
  const auto known = call.open_at.value_or(call.now + unknown_wait) - call.now;
  const auto wait = std::max<mono_time::duration>(known, shortest_wait);
  const int rank = std::clamp(call.rank, 0, last_rank);
  const double within_rank = std::uniform_real_distribution<double>(0, 1)(rng);
  const std::chrono::duration<double> later = wait * (rank_width * (rank + within_rank));
  return call.now + wait + std::chrono::duration_cast<mono_time::duration>(later);
}

} // namespace wisteriaflow::gateway
