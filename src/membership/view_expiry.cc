// How members move on by time: suspected, gone, forgotten.

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

bool membership_view::hears_majority(clock_reading now) const
{
  std::size_t heard = 0;
  std::size_t counted = 0;
  for (const auto& [key, e] : entries_) {
    if (key.kind != member_kind::daemon || e.record.state == member_state::gone) {
      continue;
    }
    ++counted;
    if (is_self(key) || (!e.suspected && now.mono < e.suspected_at)) {
      ++heard;
    }
  }
  return heard * 2 > counted;
}

void membership_view::expire_daemon(entry& e, bool hears_majority, clock_reading now)
{
  if (now.mono >= e.suspected_at) {
    e.suspected = true;
  }
  if (now.mono >= e.gone_at && hears_majority) {
    mark_gone(e, now);
  }
}

void membership_view::expire_leaving(entry& e, clock_reading now)
{
  const auto& at = e.record.reclaim_at;
  const bool reclaimed = at && *at + options_.leaving_grace <= now.wall;
  if (reclaimed || (!at && now.mono >= e.left_at)) {
    mark_gone(e, now);
  }
}

// A gone member is remembered while a lagging list or peer could still bring it back.
bool membership_view::is_forgettable(const entry& e, clock_reading now) const
{
  return e.record.state == member_state::gone && !e.listed &&
         *e.record.reclaim_at + options_.tombstone_kept <= now.wall;
}

void membership_view::forget_old(clock_reading now)
{
  std::erase_if(entries_, [&](const auto& item) {
    const entry& e = item.second;
    const bool forget = is_forgettable(e, now);
    if (forget) {
      changes_.erase(e.changed);
      heartbeat_keys_.erase(heartbeat_hash_of(e.record));
    }
    return forget;
  });
}

void membership_view::expire(entry& e, bool hears_majority, clock_reading now)
{
  if (e.record.state == member_state::leaving) {
    expire_leaving(e, now);
  }
  if (e.record.key.kind == member_kind::daemon) {
    expire_daemon(e, hears_majority, now);
  }
}

void membership_view::tick(clock_reading now)
{
  if (now.mono >= heartbeat_due_) {
    ++entries_.at(self_key_).record.heartbeat;
    heartbeat_due_ = now.mono + options_.heartbeat_period;
  }
  forget_old(now);
  const bool majority = hears_majority(now);
  for (auto& [key, e] : entries_) {
    if (!is_self(key) && e.record.state != member_state::gone) {
      expire(e, majority, now);
    }
  }
}

} // namespace wisteriaflow::membership
