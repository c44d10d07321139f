#include "wisteriaflow/membership/view.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

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

} // namespace wisteriaflow::membership
