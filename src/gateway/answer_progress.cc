#include "wisteriaflow/gateway/answer_progress.h"

#include <algorithm>

namespace wisteriaflow::gateway {
namespace {

constexpr std::uint64_t min_position_margin = 2;
constexpr std::chrono::milliseconds min_time_margin{300};
// Share of the progress, as a divisor, that two runs may differ by.
constexpr int margin_divisor = 8;

} // namespace

answer_progress furthest_of(const answer_progress& a, const answer_progress& b)
{
  return {.position = std::max(a.position, b.position), .time = std::max(a.time, b.time)};
}

bool is_further(const answer_progress& a, const answer_progress& b)
{
  const std::uint64_t position = b.position;
  return a.position >= position + std::max(min_position_margin, position / margin_divisor) &&
         a.time >= b.time + std::max(min_time_margin, b.time / margin_divisor);
}

} // namespace wisteriaflow::gateway
