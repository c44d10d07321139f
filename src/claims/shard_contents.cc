#include "claims/shard_contents.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace wisteriaflow::claims::internal {
namespace {

// Maximum number of deletes started after one update, so that a backlog does not delay claims.
constexpr std::size_t max_deletes_at_once = 8;

bool key_less(const claim_entry& entry, const hash128& key)
{
  return entry.key < key;
}

const claim_entry* find_sorted(const std::vector<claim_entry>& entries, const hash128& key)
{
  const auto it = std::lower_bound(entries.begin(), entries.end(), key, key_less);
  return it != entries.end() && it->key == key ? &*it : nullptr;
}

// Adds `entry`, or replaces the entry with the same key.
void upsert(std::vector<claim_entry>& entries, const claim_entry& entry)
{
  const auto same_key = [&](const claim_entry& other) { return other.key == entry.key; };
  const auto it = std::find_if(entries.begin(), entries.end(), same_key);
  if (it != entries.end()) {
    *it = entry;
  } else {
    entries.push_back(entry);
  }
}

wall_time max_created_of(const std::vector<claim_entry>& entries)
{
  wall_time latest;
  for (const auto& entry : entries) {
    latest = std::max(latest, entry.created);
  }
  return latest;
}

} // namespace

void shard_contents::reset(std::uint64_t version, shard_tail tail)
{
  version_ = version;
  tail_ = std::move(tail);
  drop_unlisted();
  lost_segments_.clear();
  roll_segment_.reset();
  roll_created_ = false;
  deleting_.clear();
  deleted_.clear();
}

std::optional<segment_id> shard_contents::next_to_load() const
{
  for (const auto& segment : tail_.segments) {
    if (!segments_.contains(segment.id) && !lost_segments_.contains(segment.id)) {
      return segment.id;
    }
  }
  return std::nullopt;
}

void shard_contents::load_segment(claim_segment segment)
{
  segments_.insert_or_assign(segment.id, std::move(segment.entries));
}

void shard_contents::mark_segment_lost(const segment_id& id)
{
  lost_segments_.insert(id);
}

const claim_entry* shard_contents::find(const hash128& key) const
{
  for (const auto& entry : tail_.entries) {
    if (entry.key == key) {
      return &entry;
    }
  }
  for (auto it = tail_.segments.rbegin(); it != tail_.segments.rend(); ++it) {
    if (const auto* found = find_sorted(segments_.at(it->id), key)) {
      return found;
    }
  }
  return nullptr;
}

bool shard_contents::needs_roll() const
{
  return !roll_created_ && tail_.entries.size() >= settings_.max_tail_entries;
}

bool shard_contents::is_small(const segment_info& segment) const
{
  return segment.entries < settings_.max_tail_entries * settings_.merge_segments;
}

bool shard_contents::needs_merge() const
{
  const auto small = std::count_if(tail_.segments.begin(), tail_.segments.end(),
                                   [this](const auto& segment) { return is_small(segment); });
  return static_cast<std::size_t>(small) >= settings_.merge_segments;
}

claim_segment shard_contents::compose_segment() const
{
  std::map<hash128, claim_entry> merged;
  if (roll_merges_) {
    for (const auto& segment : tail_.segments) {
      if (is_small(segment)) {
        for (const auto& entry : segments_.at(segment.id)) {
          merged.insert_or_assign(entry.key, entry);
        }
      }
    }
  }
  for (const auto& entry : tail_.entries) {
    merged.insert_or_assign(entry.key, entry);
  }
  claim_segment segment{.id = {.epoch = tail_.epoch, .number = tail_.next_segment}};
  segment.entries.reserve(merged.size());
  for (auto& [key, entry] : merged) {
    segment.entries.push_back(std::move(entry));
  }
  return segment;
}

const claim_segment& shard_contents::segment_to_create()
{
  if (!roll_segment_) {
    roll_merges_ = needs_merge();
    roll_segment_ = compose_segment();
  }
  return *roll_segment_;
}

shard_tail shard_contents::takeover_tail(const daemon_id& self, std::uint64_t write_nonce) const
{
  shard_tail next = tail_;
  if (tail_.epoch > 0) {
    // The former owner may have created its next segment without listing it.
    next.retired.push_back({.epoch = tail_.epoch, .number = tail_.next_segment});
  }
  next.epoch = tail_.epoch + 1;
  next.owner = self;
  next.write_nonce = write_nonce;
  next.next_segment = 0;
  std::erase_if(next.segments, [&](const segment_info& segment) {
    const bool lost = lost_segments_.contains(segment.id);
    if (lost) {
      next.forgotten_until = std::max(next.forgotten_until, segment.max_created);
    }
    return lost;
  });
  return next;
}

void shard_contents::list_created_segment(shard_tail& next) const
{
  if (roll_merges_) {
    std::erase_if(next.segments, [&](const segment_info& segment) {
      const bool merged = is_small(segment);
      if (merged) {
        next.retired.push_back(segment.id);
      }
      return merged;
    });
  }
  next.segments.push_back({.id = roll_segment_->id,
                           .entries = static_cast<std::uint32_t>(roll_segment_->entries.size()),
                           .max_created = max_created_of(roll_segment_->entries)});
  next.next_segment = roll_segment_->id.number + 1;
  next.entries.clear();
}

void shard_contents::expire_segments(shard_tail& next, wall_time now) const
{
  const auto oldest_kept = now - settings_.retention - settings_.skew_margin;
  std::erase_if(next.segments, [&](const segment_info& segment) {
    const bool expired = segment.max_created < oldest_kept;
    if (expired) {
      next.forgotten_until = std::max(next.forgotten_until, segment.max_created);
      next.retired.push_back(segment.id);
    }
    return expired;
  });
}

shard_tail shard_contents::next_tail(std::span<const claim_entry> batch, std::uint64_t write_nonce,
                                     wall_time now) const
{
  shard_tail next = tail_;
  next.write_nonce = write_nonce;
  std::erase_if(next.retired, [this](const auto& id) { return deleted_.contains(id); });
  if (roll_created_) {
    list_created_segment(next);
  }
  expire_segments(next, now);
  for (const auto& entry : batch) {
    upsert(next.entries, entry);
  }
  return next;
}

void shard_contents::drop_unlisted()
{
  std::set<segment_id> listed;
  for (const auto& segment : tail_.segments) {
    listed.insert(segment.id);
  }
  std::erase_if(segments_, [&](const auto& segment) { return !listed.contains(segment.first); });
}

void shard_contents::commit(std::uint64_t version, shard_tail tail)
{
  version_ = version;
  tail_ = std::move(tail);
  if (roll_created_) {
    segments_.insert_or_assign(roll_segment_->id, std::move(roll_segment_->entries));
    roll_segment_.reset();
    roll_created_ = false;
  }
  drop_unlisted();
  const auto is_retired = [this](const segment_id& id) {
    return std::find(tail_.retired.begin(), tail_.retired.end(), id) != tail_.retired.end();
  };
  std::erase_if(deleted_, [&](const auto& id) { return !is_retired(id); });
  std::erase_if(deleting_, [&](const auto& id) { return !is_retired(id); });
}

std::vector<segment_id> shard_contents::take_deletable()
{
  std::vector<segment_id> ids;
  for (const auto& id : tail_.retired) {
    if (ids.size() < max_deletes_at_once && deleting_.insert(id).second) {
      ids.push_back(id);
    }
  }
  return ids;
}

} // namespace wisteriaflow::claims::internal
