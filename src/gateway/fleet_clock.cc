#include "wisteriaflow/gateway/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace wisteriaflow::gateway {
namespace {

std::chrono::milliseconds offset_of(wall_time wall, mono_time mono)
{
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(mono.time_since_epoch());
  return wall.time_since_epoch() - since;
}

} // namespace

void fleet_clock::on_reading(const daemon_id& peer, wall_time wall, mono_time now)
{
  readings_[peer] = {.offset = offset_of(wall, now), .valid_until = now + reading_ttl_};
}

wall_time fleet_clock::now(const clock_reading& own) const
{
  std::vector<std::chrono::milliseconds> offsets = {offset_of(own.wall, own.mono)};
  for (const auto& [peer, r] : readings_) {
    if (own.mono < r.valid_until) {
      offsets.push_back(r.offset);
    }
  }
  const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(own.mono.time_since_epoch());
  return wall_time{elapsed + *median};
}

} // namespace wisteriaflow::gateway
