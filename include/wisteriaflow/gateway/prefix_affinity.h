// Assigns prompts that share their first parts to the same endpoints (prefix affinity).
//
// An engine caches the prompts that it has processed, so that a prompt costs less where its shared
// parts were processed before. A daemon only knows what it sent itself, which is little in a large
// fleet. Therefore all daemons send prompts with the same first parts to the same endpoints, the
// affinity endpoints of the prefix, which they select by rendezvous hashing without exchanging
// messages. A prefix has one affinity endpoint, and more as its traffic exceeds the capacity of one
// endpoint.
//
//   const auto prompt = split_prompt(parts);
//   const auto n = meter.affinity_count(*prompt.shared_key, seconds_of_work, daemons, now);

#ifndef WISTERIAFLOW_GATEWAY_PREFIX_AFFINITY_H_
#define WISTERIAFLOW_GATEWAY_PREFIX_AFFINITY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/call.h"

namespace wisteriaflow::gateway {

// Tokens per prompt block. Large, since the blocks only serve to find the endpoint that has most of
// a prompt: 12,000 tokens take 47 look-ups.
inline constexpr int tokens_per_block = 256;

// A prompt as blocks, each represented by the hash of all text up to its end.
struct prompt_blocks {
  std::vector<std::uint64_t> hashes;
  std::uint32_t shared = 0; // number of leading blocks in parts that other requests may share
  // Equal for prompts with the same shared parts; absent if these are too short to matter.
  std::optional<std::uint64_t> shared_key;

  friend bool operator==(const prompt_blocks&, const prompt_blocks&) = default;
};

// Splits a prompt into blocks. Its last part is specific to the request or its session; the parts
// before are shared.
[[nodiscard]] prompt_blocks split_prompt(std::span<const prompt_part> prompt);

struct prefix_traffic_options {
  // Fraction of an endpoint's time that one prefix may use. Half leaves room for the other prefixes
  // that are assigned to the endpoint.
  double max_endpoint_utilization = 0.5;
  std::chrono::milliseconds time_constant{3'000}; // of the exponential average of the traffic
  std::size_t max_prefixes = 4'096;               // upper bound on the prefixes in memory; 100 KB
};

// Measures the load that shared prefixes cause at one daemon. Not thread-safe.
class prefix_traffic_meter {
 public:
  explicit prefix_traffic_meter(prefix_traffic_options options = {}) : options_(options) {}

  // Counts a request that keeps an endpoint busy for `seconds`, and returns how many affinity
  // endpoints its prefix needs. This follows from the traffic before the request times `daemons`,
  // since callers are spread evenly over the daemons.
  std::size_t affinity_count(std::uint64_t key, double seconds, std::size_t daemons, mono_time now);

 private:
  struct traffic {
    double busy = 0; // load as a fraction of one endpoint's time, at time `at`
    mono_time at;
  };

  [[nodiscard]] double decayed_load(const traffic& t, mono_time now) const;
  void evict_idle(mono_time now);

  prefix_traffic_options options_;
  std::unordered_map<std::uint64_t, traffic> prefixes_;
};

// An endpoint from which a prompt's shared parts might be copied.
struct prefix_holder {
  endpoint_id id;
  std::uint32_t blocks_sent = 0; // leading blocks of the prompt that this daemon has sent there

  friend bool operator==(const prefix_holder&, const prefix_holder&) = default;
};

// The holder that most likely has the shared parts of `prompt`: the one to which this daemon has
// sent most of them, and among equals the first in rendezvous order, which is the order in which
// the fleet selects affinity endpoints. Returns an index into `holders`; nothing if there are none,
// or if too little is shared.
//
// This helps after the loss of a zone and when a pool grows: prefixes are then assigned to
// endpoints with empty caches, and copying shared tokens over an engine's network link is far
// faster than computing them. Naming a holder that doesn't have the parts costs nothing.
[[nodiscard]] std::optional<std::size_t> likeliest_holder(const prompt_blocks& prompt,
                                                          std::span<const prefix_holder> holders);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PREFIX_AFFINITY_H_
