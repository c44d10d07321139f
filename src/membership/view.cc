#include "wisteriaflow/membership/view.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::membership {

membership_view::membership_view(view_options options, clock_reading now)
    : options_(std::move(options)), self_key_{member_kind::daemon, options_.self.value()},
      version_(options_.incarnation), heartbeat_due_(now.mono + options_.heartbeat_period)
{
  store(find_or_add(self_key_, now),
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

membership_view::entry& membership_view::find_or_add(const member_key& key, clock_reading now)
{
  auto [it, added] = entries_.try_emplace(key);
  if (added) {
    it->second.record.key = key;
    reset_deadlines(it->second, now);
  }
  return it->second;
}

void membership_view::reset_deadlines(entry& e, clock_reading now) const
{
  const bool is_daemon = e.record.key.kind == member_kind::daemon;
  e.suspected = false;
  e.suspected_at = now.mono + options_.suspected_after;
  e.gone_at = now.mono + (is_daemon ? options_.gone_after : options_.unlisted_gone_after);
}

// Adds a record to the bucket hashes or removes it. Gone members are not included, because views
// forget them at different times.
void membership_view::update_hash(const member& m, bool present)
{
  if (m.state == member_state::gone) {
    return;
  }
  const auto part = static_cast<std::uint32_t>(hash_without_heartbeat(m));
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

// Replaces a record and its change version. Returns true if more than the heartbeat changed.
bool membership_view::store(entry& e, const member& joined, clock_reading now)
{
  const bool is_new = e.changed_version == 0;
  const bool rose = std::pair(joined.incarnation, joined.heartbeat) >
                    std::pair(e.record.incarnation, e.record.heartbeat);
  if (!is_new && equal_without_heartbeat(e.record, joined)) {
    e.record.heartbeat = joined.heartbeat;
    if (rose) {
      reset_deadlines(e, now);
    }
    return false;
  }
  if (!is_new) {
    update_hash(e.record, false);
    changes_.erase(e.changed_version);
    heartbeat_keys_.erase(heartbeat_hash_of(e.record));
  }
  if (rose) {
    reset_deadlines(e, now);
  }
  if (joined.state == member_state::leaving && (is_new || e.record.state != joined.state)) {
    e.leaving_expires_at = now.mono + options_.max_leaving_time;
  }
  e.record = joined;
  e.changed_version = ++version_;
  update_hash(joined, true);
  changes_.emplace(e.changed_version, joined.key);
  if (joined.key.kind == member_kind::daemon) {
    heartbeat_keys_.emplace(heartbeat_hash_of(joined), joined.key);
  }
  return true;
}

bool membership_view::apply(const member& received, clock_reading now)
{
  if (is_self(received.key)) {
    refute(received, now);
    return false;
  }
  member record = received;
  if (received.state == member_state::gone) {
    record.reclaim_at = received.reclaim_at.value_or(now.wall);
    // A peer that forgets the member later than this daemon must not bring the record back.
    const bool forgotten = *record.reclaim_at + options_.tombstone_retention <= now.wall;
    if (forgotten && !entries_.contains(received.key)) {
      return false;
    }
  }
  entry& e = find_or_add(received.key, now);
  return store(e, e.changed_version == 0 ? record : join(e.record, record), now);
}

// Handles a record of this daemon that came from a peer: from an earlier incarnation of it, or from
// a peer that declared it gone. Raising the incarnation overrides such a record. A notice that this
// daemon is leaving is accepted, also one for an earlier incarnation if its reclaim time is in the
// future, because a restart of the process does not prevent the reclaim of the instance.
void membership_view::refute(const member& received, clock_reading now)
{
  entry& e = entries_.at(self_key_);
  member own = e.record;
  const bool reclaim_is_ahead = received.reclaim_at && *received.reclaim_at > now.wall;
  const bool same_incarnation = received.incarnation == own.incarnation;
  if (received.state == member_state::leaving && (same_incarnation || reclaim_is_ahead)) {
    member notice = received;
    notice.incarnation = own.incarnation;
    notice.heartbeat = 0;
    notice.attributes_revision = 0;
    own = join(own, notice);
  }
  if (received.incarnation < own.incarnation) {
    store(e, own, now);
    return;
  }
  if (received.incarnation > own.incarnation || received.state == member_state::gone) {
    own.incarnation = received.incarnation + 1;
    own.attributes_revision = std::max(received.attributes_revision, own.attributes_revision) + 1;
  }
  store(e, own, now);
}

void membership_view::mark_leaving(const member_key& key, std::optional<wall_time> reclaim_at,
                                   clock_reading now)
{
  entry& e = find_or_add(key, now);
  member notice = without_attributes(e.record);
  notice.state = member_state::leaving;
  notice.reclaim_at = reclaim_at;
  store(e, e.changed_version == 0 ? notice : join(e.record, notice), now);
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
  reset_deadlines(e, now);
  return true;
}

void membership_view::connect_failed(const member_key& key, clock_reading now)
{
  const auto it = entries_.find(key);
  if (it == entries_.end() || is_self(key)) {
    return;
  }
  entry& e = it->second;
  ++e.connect_failures;
  if (key.kind == member_kind::daemon &&
      e.connect_failures >= options_.failures_until_unreachable) {
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
  it->second.connect_failures = 0;
  reset_deadlines(it->second, now);
}

} // namespace wisteriaflow::membership
