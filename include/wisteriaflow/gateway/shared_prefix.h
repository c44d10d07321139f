// Prompts that share their first parts, and the endpoints at which a fleet gathers them.
//
// An engine keeps what it has read, so a prompt costs less where its shared parts have been read
// before. A daemon knows only what it sent itself, which in a large fleet is little. So all daemons
// send prompts that share their first parts to the same endpoints, by rendezvous hashing and
// without a message between them: these are the prefix's homes. A prefix has one home, and more as
// its traffic grows beyond what one endpoint can do.
//
//   const auto prompt = split_prompt(parts);
//   const auto n = spread.homes_of(*prompt.shared_key, seconds_of_work, daemons, now);

#ifndef WISTERIAFLOW_GATEWAY_SHARED_PREFIX_H_
#define WISTERIAFLOW_GATEWAY_SHARED_PREFIX_H_

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

// Tokens of one block of a prompt. Coarse, since the blocks only have to tell which endpoint holds
// most of a prompt: 12,000 tokens are 47 look-ups.
inline constexpr int tokens_per_block = 256;

// A prompt as blocks, each with the hash of all text up to its end.
struct prompt_blocks {
  std::vector<std::uint64_t> hashes;
  std::uint32_t shared = 0; // the first so many belong to parts that other requests may share
  // Equal for prompts that share these; absent if too little is shared to matter.
  std::optional<std::uint64_t> shared_key;

  friend bool operator==(const prompt_blocks&, const prompt_blocks&) = default;
};

// The last part of a prompt is its request's own, or its session's; the others are shared.
[[nodiscard]] prompt_blocks split_prompt(std::span<const prompt_part> prompt);

struct prefix_spread_options {
  // Part of its time for which one prefix may keep its home busy. Half leaves an endpoint room for
  // the other prefixes that have their home there.
  double busy_limit = 0.5;
  std::chrono::milliseconds memory{3'000}; // time constant of the measured traffic
  std::size_t most_prefixes = 4'096;       // kept at once; 100 KB
};

// Measures the traffic of shared prefixes at one daemon. Not thread-safe.
class prefix_spread {
 public:
  explicit prefix_spread(prefix_spread_options options = {}) : options_(options) {}

  // Notes a request that keeps an endpoint busy for `seconds`, and returns how many homes its
  // prefix needs: by the traffic before it, taken `daemons` times, since callers spread evenly.
  std::size_t homes_of(std::uint64_t key, double seconds, std::size_t daemons, mono_time now);

 private:
  struct traffic {
    double busy = 0; // part of one endpoint's time, at `at`
    mono_time at;
  };

  [[nodiscard]] double faded(const traffic& t, mono_time now) const;
  void forget_quiet(mono_time now);

  prefix_spread_options options_;
  std::unordered_map<std::uint64_t, traffic> prefixes_;
};

// An endpoint that a prompt's shared parts might be copied from.
struct prefix_holder {
  endpoint_id id;
  std::uint32_t believed = 0; // first blocks of the prompt that this daemon has sent there

  friend bool operator==(const prefix_holder&, const prefix_holder&) = default;
};

// The holder that most likely has the shared parts of `prompt`: the one to which this daemon has
// sent most of them, and among equals the first in the order in which the fleet picks homes. Index
// into `holders`; nothing if there are none, or if too little is shared.
//
// It answers a zone's loss and a growing pool, after which prefixes get homes that have read
// nothing: copying shared tokens over an engine's link is far faster than computing them. Naming a
// holder that has nothing costs nothing.
[[nodiscard]] std::optional<std::size_t> likeliest_holder(const prompt_blocks& prompt,
                                                          std::span<const prefix_holder> holders);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_SHARED_PREFIX_H_
