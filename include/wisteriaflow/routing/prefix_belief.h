// Which endpoints probably hold which prompt prefixes in their cache.
//
// Fed by what this daemon sent (certain, at once) and by the engines' cache events (late, with
// gaps), and forgotten when not touched for long. Memory is bounded.

#ifndef WISTERIAFLOW_ROUTING_PREFIX_BELIEF_H_
#define WISTERIAFLOW_ROUTING_PREFIX_BELIEF_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/routing/endpoint_table.h"

namespace wisteriaflow::routing {

// An engine's notice that a block entered or left its cache.
struct cache_event {
  enum class kind { stored, evicted };

  std::uint64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  cache_event::kind kind = kind::stored;

  friend bool operator==(const cache_event&, const cache_event&) = default;
};

// Limits of a `prefix_belief`.
struct prefix_belief_options {
  std::size_t max_blocks = 65'536;
  std::chrono::seconds forget_after{600}; // without being sent or reported again
  // An eviction reported within this time of an own send is older than the send: it is ignored.
  std::chrono::milliseconds event_lag{3'000};
};

// Bounded memory of prefix blocks. Not thread-safe; one daemon's core owns one.
class prefix_belief {
 public:
  explicit prefix_belief(prefix_belief_options options);

  // A prompt with these blocks was sent to `slot`, which will hold them all.
  void on_sent(endpoint_slot slot, std::span<const std::uint64_t> blocks, mono_time now);

  // An event of the engine in `slot`. Repeated and reordered events are harmless.
  void on_event(endpoint_slot slot, const cache_event& event, mono_time now);

  // The endpoint in `slot` is gone or restarted with an empty cache.
  void forget(endpoint_slot slot);

  // Number of leading blocks that each slot is believed to hold: `matched[slot]` is raised for the
  // slots below `matched.size()`, which the caller has set to 0.
  void match(std::span<const std::uint64_t> blocks, mono_time now,
             std::span<std::uint32_t> matched) const;

  // Blocks remembered, at most `max_blocks`.
  [[nodiscard]] std::size_t size() const { return recent_.size() + older_.size(); }
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  struct holder {
    mono_time seen;
    endpoint_slot slot = 0;
    bool sent_by_us = false;
  };
  using holders = std::vector<holder>;
  using generation = boost::unordered_flat_map<std::uint64_t, holders>;

  holders& touch(std::uint64_t block);
  const holders* find(std::uint64_t block) const;
  void remember(std::uint64_t block, const holder& seen);

  prefix_belief_options options_;
  // Two generations stand for an LRU list: a touched block moves to `recent_`, and when that is
  // full, `older_` is dropped whole.
  generation recent_;
  generation older_;
};

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_PREFIX_BELIEF_H_
