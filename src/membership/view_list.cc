// Merging the instance list into a view.

#include <set>

#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

// Returns the listed member as a record that can be joined with the stored one.
member membership_view::listed_record(entry& e, const member& listed, clock_reading now) const
{
  member record = listed;
  record.incarnation = e.record.incarnation;
  record.heartbeat = e.record.heartbeat;
  record.attributes_revision = 1;
  if (e.record.state != member_state::live) {
    record.reclaim_at = e.record.reclaim_at;
  }
  const auto listed_hash = hash_of(listed.attributes);
  const bool edited = e.list_attributes_hash && *e.list_attributes_hash != listed_hash;
  if (!e.list_attributes_hash || edited) {
    e.list_attributes_hash = listed_hash;
    e.list_trusted_at = now.mono + options_.list_trusted_after;
  }
  // Changed attributes are newer than the stored ones. Unchanged ones may come from a list that
  // lags, so they count only once the list has shown them long enough.
  const bool is_daemon = listed.key.kind == member_kind::daemon;
  const bool overrides_attributes = edited || now.mono >= e.list_trusted_at;
  if (is_daemon && e.record.attributes_revision > 1) {
    // A daemon publishes its own attributes.
    record.attributes_revision = e.record.attributes_revision;
    record.attributes = e.record.attributes;
  } else if (overrides_attributes && e.record.attributes != listed.attributes) {
    record.attributes_revision = e.record.attributes_revision + 1;
  }
  return record;
}

void membership_view::apply_list(std::span<const member> listed, clock_reading now)
{
  std::set<member_key> listed_keys;
  for (const member& m : listed) {
    listed_keys.insert(m.key);
    if (is_self(m.key)) {
      if (m.state == member_state::leaving) {
        mark_leaving(m.key, m.reclaim_at, now);
      }
      continue;
    }
    entry& e = find_or_add(m.key, now);
    const bool is_new = e.changed_version == 0;
    const member record = listed_record(e, m, now);
    store(e, is_new ? record : join(e.record, record), now);
    e.listed = true;
    if (m.key.kind == member_kind::endpoint) {
      reset_deadlines(e, now);
    }
  }
  for (auto& [key, e] : entries_) {
    if (listed_keys.contains(key)) {
      continue;
    }
    e.listed = false;
    if (key.kind == member_kind::endpoint && now.mono >= e.gone_at) {
      mark_gone(e, now);
    }
  }
}

} // namespace wisteriaflow::membership
