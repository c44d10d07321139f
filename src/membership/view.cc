#include "wisteriaflow/membership/view.h"

#include "wisteriaflow/base/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wisteriaflow::membership {
membership_view::membership_view(view_options options, clock_reading now)
    : options_(std::move(options)), self_key_{member_kind::daemon, options_.self.value()},
      version_(options_.incarnation), heartbeat_due_(now.mono + options_.heartbeat_period)
{
  store(entry_of(self_key_, now),
        {.key = self_key_,
         .incarnation = options_.incarnation,
         .heartbeat = 1,
         .attributes_revision = options_.incarnation,
         .attributes = options_.self_attributes},
        now);
}

bool membership_view::is_self(const member_key& key) const
{
  return key == self_key_;
}

std::uint64_t membership_view::heartbeat_hash_of(const member& m)
{
  return hash64_of(m.key.id, m.incarnation);
}

membership_view::entry& membership_view::entry_of(const member_key& key, clock_reading now)
{
  auto [it, added] = entries_.try_emplace(key);
  if (added) {
    it->second.record.key = key;
    refresh(it->second, now);
  }
  return it->second;
}

void membership_view::refresh(entry& e, clock_reading now) const
{
  const bool is_daemon = e.record.key.kind == member_kind::daemon;
  e.suspected = false;
  e.suspected_at = now.mono + options_.suspected_after;
  e.gone_at = now.mono + (is_daemon ? options_.gone_after : options_.missing_after);
}

// Adds a record to the hashes or takes it out. Gone members are left out, because views forget
// them at different times.
void membership_view::count(const member& m, bool present)
{
  if (m.state == member_state::gone) {
    return;
  }
  const auto part = static_cast<std::uint32_t>(agreement_hash_of(m));
  auto& bucket = buckets_.at(bucket_of(m.key));
  bucket = present ? bucket + part : bucket - part;
}

std::size_t membership_view::bucket_of(const member_key& key)
{
  return hash_of(key) % std::tuple_size_v<bucket_hashes>;
}

std::uint64_t membership_view::hash() const
{
  return hash64_of({reinterpret_cast<const char*>(buckets_.data()), sizeof(buckets_)});
}

// Replaces a record and notes the change. True if more than the heartbeat changed.
bool membership_view::store(entry& e, const member& joined, clock_reading now)
{
  const bool is_new = e.changed == 0;
  const bool rose = std::pair(joined.incarnation, joined.heartbeat) >
                    std::pair(e.record.incarnation, e.record.heartbeat);
  if (!is_new && agrees(e.record, joined)) {
    e.record.heartbeat = joined.heartbeat;
    if (rose) {
      refresh(e, now);
    }
    return false;
  }
  if (!is_new) {
    count(e.record, false);
    changes_.erase(e.changed);
    heartbeat_keys_.erase(heartbeat_hash_of(e.record));
  }
  if (rose) {
    refresh(e, now);
  }
  if (joined.state == member_state::leaving && (is_new || e.record.state != joined.state)) {
    e.left_at = now.mono + options_.leaving_without_time;
  }
  e.record = joined;
  e.changed = ++version_;
  count(joined, true);
  changes_.emplace(e.changed, joined.key);
  if (joined.key.kind == member_kind::daemon) {
    heartbeat_keys_.emplace(heartbeat_hash_of(joined), joined.key);
  }
  return true;
}

bool membership_view::apply(const member& heard, clock_reading now)
{
  if (is_self(heard.key)) {
    refute(heard, now);
    return false;
  }
  member record = heard;
  if (heard.state == member_state::gone) {
    record.reclaim_at = heard.reclaim_at.value_or(now.wall);
    // A peer that forgets later than this daemon must not bring the record back.
    const bool forgotten = *record.reclaim_at + options_.tombstone_kept <= now.wall;
    if (forgotten && !entries_.contains(heard.key)) {
      return false;
    }
  }
  entry& e = entry_of(heard.key, now);
  return store(e, e.changed == 0 ? record : join(e.record, record), now);
}

// A word about this daemon that it did not say itself: from an earlier incarnation, or a peer that
// took it for gone. Its next incarnation overrules it. A notice that it leaves is believed, also
// one of an earlier incarnation if its reclaim is to come: a restart does not save the instance.
void membership_view::refute(const member& heard, clock_reading now)
{
  entry& e = entries_.at(self_key_);
  member own = e.record;
  const bool to_come = heard.reclaim_at && *heard.reclaim_at > now.wall;
  const bool same = heard.incarnation == own.incarnation;
  if (heard.state == member_state::leaving && (same || to_come)) {
    member notice = heard;
    notice.incarnation = own.incarnation;
    notice.heartbeat = 0;
    notice.attributes_revision = 0;
    own = join(own, notice);
  }
  if (heard.incarnation < own.incarnation) {
    store(e, own, now);
    return;
  }
  if (heard.incarnation > own.incarnation || heard.state == member_state::gone) {
    own.incarnation = heard.incarnation + 1;
    own.attributes_revision = std::max(heard.attributes_revision, own.attributes_revision) + 1;
  }
  store(e, own, now);
}

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

void membership_view::announce_leaving(const member_key& key, std::optional<wall_time> reclaim_at,
                                       clock_reading now)
{
  entry& e = entry_of(key, now);
  member notice = without_attributes(e.record);
  notice.state = member_state::leaving;
  notice.reclaim_at = reclaim_at;
  store(e, e.changed == 0 ? notice : join(e.record, notice), now);
}

bool membership_view::apply_heartbeat(std::uint64_t hash, std::uint64_t counter, clock_reading now)
{
  const auto key = heartbeat_keys_.find(hash);
  if (key == heartbeat_keys_.end() || is_self(key->second)) {
    return false;
  }
  entry& e = entries_.at(key->second);
  if (counter <= e.record.heartbeat) {
    return false;
  }
  e.record.heartbeat = counter;
  refresh(e, now);
  return true;
}

void membership_view::connect_failed(const member_key& key, clock_reading now)
{
  const auto it = entries_.find(key);
  if (it == entries_.end() || is_self(key)) {
    return;
  }
  entry& e = it->second;
  ++e.failures;
  if (key.kind == member_kind::daemon && e.failures >= options_.failures_until_unreachable) {
    e.suspected = true;
    e.suspected_at = std::min(e.suspected_at, now.mono);
  }
}

void membership_view::connect_succeeded(const member_key& key, clock_reading now)
{
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return;
  }
  it->second.failures = 0;
  refresh(it->second, now);
}

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

void membership_view::tick(clock_reading now)
{
  if (now.mono >= heartbeat_due_) {
    ++entries_.at(self_key_).record.heartbeat;
    heartbeat_due_ = now.mono + options_.heartbeat_period;
  }
  const bool majority = hears_majority(now);
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& e = it->second;
    if (is_self(it->first)) {
      ++it;
      continue;
    }
    if (e.record.state == member_state::gone) {
      const bool kept = e.listed || *e.record.reclaim_at + options_.tombstone_kept > now.wall;
      if (!kept) {
        changes_.erase(e.changed);
        heartbeat_keys_.erase(heartbeat_hash_of(e.record));
        it = entries_.erase(it);
        continue;
      }
    } else {
      if (e.record.state == member_state::leaving) {
        expire_leaving(e, now);
      }
      if (it->first.kind == member_kind::daemon) {
        expire_daemon(e, majority, now);
      }
    }
    ++it;
  }
}

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
      break; // Daemons come first.
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
    const bool live =
        e.record.state == member_state::live && e.failures < options_.failures_until_unreachable;
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
  return it != entries_.end() && it->second.failures >= options_.failures_until_unreachable;
}

} // namespace wisteriaflow::membership
