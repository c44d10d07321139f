#include "wisteriaflow/membership/internal/heartbeat_board.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::membership::internal {

void heartbeat_board::add(const heartbeat& beat, mono_time now)
{
  auto& kept = kept_[beat.hash];
  if (beat.counter > kept.counter) {
    kept = {.counter = beat.counter, .lapses_at = now + options_.kept};
  }
}

std::vector<heartbeat> heartbeat_board::take(mono_time now)
{
  std::erase_if(kept_, [now](const auto& item) { return now >= item.second.lapses_at; });
  std::vector<std::pair<const std::uint64_t, kept_heartbeat>*> picked;
  picked.reserve(kept_.size());
  for (auto& item : kept_) {
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
  std::erase_if(kept_, [this](const auto& item) { return item.second.sends >= options_.sends; });
  return beats;
}

} // namespace wisteriaflow::membership::internal
