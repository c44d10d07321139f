// An index of the prompt prefixes that each endpoint probably has in its KV cache.
//
// It is updated from the prompts that this daemon sends (certain and immediate) and from the cache
// events of the engines (delayed and incomplete). Entries expire when they are not updated for
// long, and the number of entries is bounded.
//
//   prefix_cache_index index({});
//   index.on_sent(slot, blocks, now);
//   std::vector<std::uint32_t> matched(slot_count, 0);
//   index.match(blocks, now, matched);

#ifndef WISTERIAFLOW_ROUTING_PREFIX_CACHE_INDEX_H_
#define WISTERIAFLOW_ROUTING_PREFIX_CACHE_INDEX_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/routing/endpoint_table.h"

namespace wisteriaflow::routing {

// An engine's report that a prefix block was stored in or evicted from its cache.
struct cache_event {
  enum class kind { stored, evicted };

  std::uint64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  cache_event::kind kind = kind::stored;

  friend bool operator==(const cache_event&, const cache_event&) = default;
};

// Limits of a `prefix_cache_index`.
struct prefix_cache_index_options {
  std::size_t max_blocks = 65'536;
  std::chrono::seconds expire_after{600}; // since the block was last sent or reported
  // An eviction reported within this time after this daemon sent the block is ignored, since the
  // event is delayed and its eviction took place before the send.
  std::chrono::milliseconds max_event_delay{3'000};
};

// A bounded index from prefix blocks to endpoint slots. Not thread-safe; owned by the daemon's
// core.
class prefix_cache_index {
 public:
  explicit prefix_cache_index(prefix_cache_index_options options);

  // Records that a prompt with these blocks was sent to `slot`, which will have all of them cached.
  void on_sent(endpoint_slot slot, std::span<const std::uint64_t> blocks, mono_time now);

  // Applies a cache event of the engine in `slot`. Duplicate and reordered events are tolerated.
  void on_event(endpoint_slot slot, const cache_event& event, mono_time now);

  // Removes all entries of the endpoint in `slot`, which is gone or has restarted with an empty
  // cache.
  void remove_endpoint(endpoint_slot slot);

  // Counts the leading blocks that each slot probably has cached. Sets `matched[slot]` for the
  // slots below `matched.size()`; the caller initialises `matched` to 0.
  void match(std::span<const std::uint64_t> blocks, mono_time now,
             std::span<std::uint32_t> matched) const;

  // Number of indexed blocks, at most `max_blocks`.
  [[nodiscard]] std::size_t size() const { return recent_blocks_.size() + older_blocks_.size(); }
  // Memory used, in bytes.
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  struct holder {
    mono_time last_seen;
    endpoint_slot slot = 0;
    bool sent_by_this_daemon = false;
  };
  using holders = std::vector<holder>;
  using generation = boost::unordered_flat_map<std::uint64_t, holders>;

  holders& touch(std::uint64_t block);
  const holders* find(std::uint64_t block) const;
  void record_holder(std::uint64_t block, const holder& update);

  prefix_cache_index_options options_;
  // Two generations approximate an LRU list: a touched block moves to `recent_blocks_`. When that
  // is full, it becomes `older_blocks_`, whose previous content is dropped.
  generation recent_blocks_;
  generation older_blocks_;
};

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_PREFIX_CACHE_INDEX_H_
