#include "wisteriaflow/capacity/load_queue.h"

#include <algorithm>

namespace wisteriaflow::capacity {

bool load_queue::has_loaded_all(const instance_id& endpoint,
                                const std::vector<model_load>& loads) const
{
  const auto it = states_.find(endpoint);
  return std::all_of(loads.begin(), loads.end(), [&](const model_load& load) {
    return it != states_.end() && it->second.loaded.contains(load);
  });
}

bool load_queue::try_start(const instance_id& endpoint, const model_load& load, mono_time now)
{
  if (free_at_ > now) {
    return false;
  }
  auto& s = states_[endpoint];
  const auto ordered = s.pending.find(load);
  const bool awaited = ordered != s.pending.end() && ordered->second > now;
  if (awaited || s.loaded.contains(load)) {
    return false;
  }
  const auto takes = std::chrono::duration_cast<mono_time::duration>(
      std::chrono::duration<double>(static_cast<double>(load.bytes) / options_.bytes_per_second));
  free_at_ = now + takes;
  s.pending[load] = free_at_ + options_.order_timeout;
  return true;
}

void load_queue::on_answered(const instance_id& endpoint, const model_load& load, bool loaded)
{
  const auto it = states_.find(endpoint);
  if (it == states_.end()) {
    return; // the endpoint has been removed
  }
  it->second.pending.erase(load);
  if (loaded) {
    it->second.loaded.insert(load);
  }
}

void load_queue::retain_only(const std::set<instance_id>& endpoints)
{
  std::erase_if(states_, [&](const auto& each) { return !endpoints.contains(each.first); });
}

} // namespace wisteriaflow::capacity
