#include "wisteriaflow/gateway/version_history.h"

#include <algorithm>

namespace wisteriaflow::gateway {

void version_history::on_endpoint_added(const service_version& version, mono_time now)
{
  const auto [it, added] = entries_.try_emplace(version);
  if (added) {
    it->second.known_since = now;
  }
  ++it->second.endpoints;
}

void version_history::on_endpoint_removed(const service_version& version, mono_time now)
{
  const auto it = entries_.find(version);
  if (it != entries_.end() && it->second.endpoints > 0) {
    --it->second.endpoints;
    it->second.last_used_at = now;
  }
}

void version_history::on_stated(const service_version& version, mono_time now)
{
  const auto [it, added] = entries_.try_emplace(version);
  if (added) {
    it->second.known_since = now;
  }
  it->second.last_used_at = std::max(it->second.last_used_at, now);
}

service_version_set version_history::in_use(const std::vector<std::string>& services,
                                            mono_time since) const
{
  service_version_set out;
  for (const auto& service : services) {
    for (auto it = entries_.lower_bound({.service = service});
         it != entries_.end() && it->first.service == service; ++it) {
      if (is_in_use(it->second, since)) {
        out.insert(it->first);
      }
    }
  }
  return out;
}

service_version_set version_history::in_use(mono_time since) const
{
  service_version_set out;
  for (const auto& [version, it] : entries_) {
    if (is_in_use(it, since)) {
      out.insert(version);
    }
  }
  return out;
}

std::optional<mono_time> version_history::known_since(const service_version& version) const
{
  const auto it = entries_.find(version);
  return it == entries_.end() ? std::nullopt : std::optional(it->second.known_since);
}

void version_history::forget_before(mono_time time)
{
  std::erase_if(entries_, [time](const auto& it) { return !is_in_use(it.second, time); });
}

} // namespace wisteriaflow::gateway
