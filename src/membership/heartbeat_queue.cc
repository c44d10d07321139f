#include "wisteriaflow/membership/internal/heartbeat_queue.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::membership::internal {

void heartbeat_queue::add(const heartbeat& beat, mono_time now)
{
  auto& queued = queued_[beat.hash];
  if (beat.counter > queued.counter) {
    queued = {.counter = beat.counter, .expires_at = now + options_.max_age};
  }
}

std::vector<heartbeat> heartbeat_queue::take(mono_time now)
{
  std::erase_if(queued_, [now](const auto& item) { return now >= item.second.expires_at; });
  std::vector<std::pair<const std::uint64_t, queued_heartbeat>*> picked;
  picked.reserve(queued_.size());
  for (auto& item : queued_) {
    picked.push_back(&item);
  }
  if (picked.size() > options_.max_heartbeats) {
    const auto end = picked.begin() + static_cast<std::ptrdiff_t>(options_.max_heartbeats);
    std::ranges::nth_element(picked, end, {}, [](const auto* item) { return item->second.sends; });
    picked.erase(end, picked.end());
  }
  std::vector<heartbeat> beats;
  beats.reserve(picked.size());
  for (auto* item : picked) {
    beats.push_back({.hash = item->first, .counter = item->second.counter});
    ++item->second.sends;
  }
  std::erase_if(queued_,
                [this](const auto& item) { return item.second.sends >= options_.max_sends; });
  return beats;
}

} // namespace wisteriaflow::membership::internal
