#include "wisteriaflow/routing/prefix_cache_index.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::routing {
prefix_cache_index::prefix_cache_index(prefix_cache_index_options options) : options_(options) {}

prefix_cache_index::holders& prefix_cache_index::touch(std::uint64_t block)
{
  if (const auto it = recent_blocks_.find(block); it != recent_blocks_.end()) {
    return it->second;
  }
  if (recent_blocks_.size() >= options_.max_blocks / 2) {
    older_blocks_ = std::exchange(recent_blocks_, {});
  }
  holders kept;
  if (const auto it = older_blocks_.find(block); it != older_blocks_.end()) {
    kept = std::move(it->second);
    older_blocks_.erase(it);
  }
  return recent_blocks_.emplace(block, std::move(kept)).first->second;
}

const prefix_cache_index::holders* prefix_cache_index::find(std::uint64_t block) const
{
  if (const auto it = recent_blocks_.find(block); it != recent_blocks_.end()) {
    return &it->second;
  }
  const auto it = older_blocks_.find(block);
  return it == older_blocks_.end() ? nullptr : &it->second;
}

void prefix_cache_index::record_holder(std::uint64_t block, const holder& update)
{
  auto& known = touch(block);
  const auto it = std::find_if(known.begin(), known.end(),
                               [&update](const holder& h) { return h.slot == update.slot; });
  if (it == known.end()) {
    known.push_back(update);
  } else if (update.sent_by_this_daemon || !it->sent_by_this_daemon ||
             update.last_seen > it->last_seen + options_.max_event_delay) {
    *it = update;
  }
}

void prefix_cache_index::on_sent(endpoint_slot slot, std::span<const std::uint64_t> blocks,
                                 mono_time now)
{
  for (const auto block : blocks) {
    record_holder(block, {.last_seen = now, .slot = slot, .sent_by_this_daemon = true});
  }
}

void prefix_cache_index::on_event(endpoint_slot slot, const cache_event& event, mono_time now)
{
  if (event.kind == cache_event::kind::stored) {
    record_holder(event.prefix_hash,
                  {.last_seen = now, .slot = slot, .sent_by_this_daemon = false});
    return;
  }
  if (find(event.prefix_hash) == nullptr) {
    return;
  }
  std::erase_if(touch(event.prefix_hash), [&](const holder& h) {
    const bool newer_than_event =
        h.sent_by_this_daemon && h.last_seen + options_.max_event_delay > now;
    return h.slot == slot && !newer_than_event;
  });
}

void prefix_cache_index::remove_endpoint(endpoint_slot slot)
{
  const auto drop = [slot](generation& blocks) {
    for (auto& [block, known] : blocks) {
      std::erase_if(known, [slot](const holder& h) { return h.slot == slot; });
    }
    boost::unordered::erase_if(blocks, [](const auto& it) { return it.second.empty(); });
  };
  drop(recent_blocks_);
  drop(older_blocks_);
}

void prefix_cache_index::match(std::span<const std::uint64_t> blocks, mono_time now,
                               std::span<std::uint32_t> matched) const
{
  std::uint32_t depth = 0;
  for (const auto block : blocks) {
    const auto* known = find(block);
    if (known == nullptr) {
      return;
    }
    bool held = false;
    for (const auto& it : *known) {
      // A slot without an earlier block cannot have this prefix, even if an event reported the
      // block.
      if (it.slot < matched.size() && matched[it.slot] == depth &&
          it.last_seen + options_.expire_after > now) {
        matched[it.slot] = depth + 1;
        held = true;
      }
    }
    if (!held) {
      return;
    }
    ++depth;
  }
}

std::size_t prefix_cache_index::memory_bytes() const
{
  std::size_t bytes = 0;
  for (const auto* blocks : {&recent_blocks_, &older_blocks_}) {
    bytes += blocks->bucket_count() * (sizeof(generation::value_type) + 1);
    for (const auto& [block, known] : *blocks) {
      bytes += known.capacity() * sizeof(holder);
    }
  }
  return bytes;
}

} // namespace wisteriaflow::routing
