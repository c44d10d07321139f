// How a view joins what the instance list shows.

#include <set>

#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

// What the list says of a member, as a record that joins with what is known of it.
member membership_view::listed_record(entry& e, const member& listed, clock_reading now) const
{
  member record = listed;
  record.incarnation = e.record.incarnation;
  record.heartbeat = e.record.heartbeat;
  record.attributes_revision = 1;
  if (e.record.state != member_state::live) {
    record.reclaim_at = e.record.reclaim_at;
  }
  const auto shown = hash_of(listed.attributes);
  const bool edited = e.list_attributes_hash && *e.list_attributes_hash != shown;
  if (!e.list_attributes_hash || edited) {
    e.list_attributes_hash = shown;
    e.list_settles_at = now.mono + options_.list_settles_after;
  }
  // An edit is news; the same old words from a list that lags are not, until it has settled.
  const bool is_daemon = listed.key.kind == member_kind::daemon;
  const bool is_news = edited || now.mono >= e.list_settles_at;
  if (is_daemon && e.record.attributes_revision > 1) {
    // A daemon describes itself.
    record.attributes_revision = e.record.attributes_revision;
    record.attributes = e.record.attributes;
  } else if (is_news && e.record.attributes != listed.attributes) {
    record.attributes_revision = e.record.attributes_revision + 1;
  }
  return record;
}

void membership_view::apply_list(std::span<const member> listed, clock_reading now)
{
  std::set<member_key> shown;
  for (const member& m : listed) {
    shown.insert(m.key);
    if (is_self(m.key)) {
      if (m.state == member_state::leaving) {
        announce_leaving(m.key, m.reclaim_at, now);
      }
      continue;
    }
    entry& e = entry_of(m.key, now);
    const bool is_new = e.changed == 0;
    const member record = listed_record(e, m, now);
    store(e, is_new ? record : join(e.record, record), now);
    e.listed = true;
    if (m.key.kind == member_kind::endpoint) {
      refresh(e, now);
    }
  }
  for (auto& [key, e] : entries_) {
    if (shown.contains(key)) {
      continue;
    }
    e.listed = false;
    if (key.kind == member_kind::endpoint && now.mono >= e.gone_at) {
      mark_gone(e, now);
    }
  }
}

} // namespace wisteriaflow::membership
