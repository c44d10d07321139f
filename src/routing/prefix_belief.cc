#include "wisteriaflow/routing/prefix_belief.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::routing {
prefix_belief::prefix_belief(prefix_belief_options options) : options_(options) {}

prefix_belief::holders& prefix_belief::touch(std::uint64_t block)
{
  if (const auto it = recent_.find(block); it != recent_.end()) {
    return it->second;
  }
  if (recent_.size() >= options_.max_blocks / 2) {
    older_ = std::exchange(recent_, {});
  }
  holders kept;
  if (const auto it = older_.find(block); it != older_.end()) {
    kept = std::move(it->second);
    older_.erase(it);
  }
  return recent_.emplace(block, std::move(kept)).first->second;
}

const prefix_belief::holders* prefix_belief::find(std::uint64_t block) const
{
  if (const auto it = recent_.find(block); it != recent_.end()) {
    return &it->second;
  }
  const auto it = older_.find(block);
  return it == older_.end() ? nullptr : &it->second;
}

void prefix_belief::remember(std::uint64_t block, const holder& seen)
{
  auto& known = touch(block);
  const auto it = std::find_if(known.begin(), known.end(),
                               [&seen](const holder& h) { return h.slot == seen.slot; });
  if (it == known.end()) {
    known.push_back(seen);
  } else if (seen.sent_by_us || !it->sent_by_us || seen.seen > it->seen + options_.event_lag) {
    *it = seen;
  }
}

void prefix_belief::on_sent(endpoint_slot slot, std::span<const std::uint64_t> blocks,
                            mono_time now)
{
  for (const auto block : blocks) {
    remember(block, {.seen = now, .slot = slot, .sent_by_us = true});
  }
}

void prefix_belief::on_event(endpoint_slot slot, const cache_event& event, mono_time now)
{
  if (event.kind == cache_event::kind::stored) {
    remember(event.prefix_hash, {.seen = now, .slot = slot, .sent_by_us = false});
    return;
  }
  if (find(event.prefix_hash) == nullptr) {
    return;
  }
  std::erase_if(touch(event.prefix_hash), [&](const holder& h) {
    const bool newer_than_event = h.sent_by_us && h.seen + options_.event_lag > now;
    return h.slot == slot && !newer_than_event;
  });
}

void prefix_belief::forget(endpoint_slot slot)
{
  const auto drop = [slot](generation& blocks) {
    for (auto& [block, known] : blocks) {
      std::erase_if(known, [slot](const holder& h) { return h.slot == slot; });
    }
    boost::unordered::erase_if(blocks, [](const auto& it) { return it.second.empty(); });
  };
  drop(recent_);
  drop(older_);
}

void prefix_belief::match(std::span<const std::uint64_t> blocks, mono_time now,
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
      // A slot that lacked an earlier block lacks this prefix, whatever an event said.
      if (it.slot < matched.size() && matched[it.slot] == depth &&
          it.seen + options_.forget_after > now) {
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

std::size_t prefix_belief::memory_bytes() const
{
  std::size_t bytes = 0;
  for (const auto* blocks : {&recent_, &older_}) {
    bytes += blocks->bucket_count() * (sizeof(generation::value_type) + 1);
    for (const auto& [block, known] : *blocks) {
      bytes += known.capacity() * sizeof(holder);
    }
  }
  return bytes;
}

} // namespace wisteriaflow::routing
