// State changes of members by time: suspected, gone, forgotten.

#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

void membership_view::mark_gone(entry& e, clock_reading now)
{
  if (e.record.state == member_state::gone) {
    return;
  }
  member gone = e.record;
  gone.state = member_state::gone;
  gone.reclaim_at = now.wall;
  store(e, gone, now);
}

bool membership_view::has_quorum(clock_reading now) const
{
  std::size_t recent = 0;
  std::size_t total = 0;
  for (const auto& [key, e] : entries_) {
    if (key.kind != member_kind::daemon || e.record.state == member_state::gone) {
      continue;
    }
    ++total;
    if (is_self(key) || (!e.suspected && now.mono < e.suspected_at)) {
      ++recent;
    }
  }
  return recent * 2 > total;
}

void membership_view::expire_daemon(entry& e, bool has_quorum, clock_reading now)
{
  if (now.mono >= e.suspected_at) {
    e.suspected = true;
  }
  if (now.mono >= e.gone_at && has_quorum) {
    mark_gone(e, now);
  }
}

void membership_view::expire_leaving(entry& e, clock_reading now)
{
  const auto& at = e.record.reclaim_at;
  const bool reclaimed = at && *at + options_.leaving_grace <= now.wall;
  if (reclaimed || (!at && now.mono >= e.leaving_expires_at)) {
    mark_gone(e, now);
  }
}

// A gone member is remembered while a lagging instance list or peer could still bring it back.
bool membership_view::is_expired_tombstone(const entry& e, clock_reading now) const
{
  return e.record.state == member_state::gone && !e.listed &&
         *e.record.reclaim_at + options_.tombstone_retention <= now.wall;
}

void membership_view::remove_old_tombstones(clock_reading now)
{
  std::erase_if(entries_, [&](const auto& item) {
    const entry& e = item.second;
    const bool forget = is_expired_tombstone(e, now);
    if (forget) {
      changes_.erase(e.changed_version);
      heartbeat_keys_.erase(heartbeat_hash_of(e.record));
    }
    return forget;
  });
}

void membership_view::expire(entry& e, bool has_quorum, clock_reading now)
{
  if (e.record.state == member_state::leaving) {
    expire_leaving(e, now);
  }
  if (e.record.key.kind == member_kind::daemon) {
    expire_daemon(e, has_quorum, now);
  }
}

void membership_view::tick(clock_reading now)
{
  if (now.mono >= heartbeat_due_) {
    ++entries_.at(self_key_).record.heartbeat;
    heartbeat_due_ = now.mono + options_.heartbeat_period;
  }
  remove_old_tombstones(now);
  const bool quorum = has_quorum(now);
  for (auto& [key, e] : entries_) {
    if (!is_self(key) && e.record.state != member_state::gone) {
      expire(e, quorum, now);
    }
  }
}

} // namespace wisteriaflow::membership
