// Queries of a view; see view.cc for the updates.

#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

const member* membership_view::find(const member_key& key) const
{
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second.record;
}

const member& membership_view::self() const
{
  return entries_.at(self_key_).record;
}

std::vector<const member*> membership_view::live_daemons() const
{
  std::vector<const member*> found;
  for (const auto& [key, e] : entries_) {
    const bool live = e.record.state == member_state::live && !e.suspected;
    if (key.kind == member_kind::daemon && live) {
      found.push_back(&e.record);
    }
  }
  return found;
}

std::vector<const member*> membership_view::other_daemons() const
{
  std::vector<const member*> found;
  for (const auto& [key, e] : entries_) {
    if (key.kind != member_kind::daemon) {
      break; // Daemons sort first.
    }
    if (!is_self(key) && e.record.state != member_state::gone) {
      found.push_back(&e.record);
    }
  }
  return found;
}

std::vector<const member*>
membership_view::live_endpoints(const std::function<bool(const member&)>& matches) const
{
  std::vector<const member*> found;
  for (const auto& [key, e] : entries_) {
    const bool live = e.record.state == member_state::live &&
                      e.connect_failures < options_.failures_until_unreachable;
    if (key.kind == member_kind::endpoint && live && matches(e.record)) {
      found.push_back(&e.record);
    }
  }
  return found;
}

bool membership_view::is_routable(const endpoint_id& endpoint) const
{
  const auto* m = find({member_kind::endpoint, endpoint.value()});
  return m != nullptr && m->state == member_state::live && !is_unreachable(endpoint);
}

bool membership_view::is_suspected(const daemon_id& daemon) const
{
  const auto it = entries_.find({member_kind::daemon, daemon.value()});
  return it != entries_.end() && it->second.suspected;
}

bool membership_view::is_unreachable(const endpoint_id& endpoint) const
{
  const auto it = entries_.find({member_kind::endpoint, endpoint.value()});
  return it != entries_.end() && it->second.connect_failures >= options_.failures_until_unreachable;
}

} // namespace wisteriaflow::membership
