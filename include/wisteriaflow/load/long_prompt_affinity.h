// Selects for each daemon a few engines of its own, to which it prefers to send long prompts.
//
// A daemon's information about the prompts of others is older than those prompts last, so two
// daemons that choose by load put long prompts on the same engine at once. Engines are assigned to
// daemons by rendezvous hashing, without messages: each daemon knows exactly what it has sent to
// its own engines, and others rarely send long prompts there.
//
//   long_prompt_affinity affinity(self);
//   affinity.set_daemons(others);
//   affinity.add_engine(slot, id);
//   const auto own = affinity.own_engines(open); // parallel to `open`

#ifndef WISTERIAFLOW_LOAD_LONG_PROMPT_AFFINITY_H_
#define WISTERIAFLOW_LOAD_LONG_PROMPT_AFFINITY_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::load {

// Index of an engine at its daemon, small and reused.
using engine_index = std::uint32_t;

// Not thread-safe.
class long_prompt_affinity {
 public:
  explicit long_prompt_affinity(daemon_id self);

  // Sets the other daemons that send calls. The cost is proportional to the number of engines times
  // the number of daemons that were added or removed.
  void set_daemons(std::vector<daemon_id> others);

  void add_engine(engine_index index, const endpoint_id& id);
  void remove_engine(engine_index index);

  // Whether each engine of `open` is one of this daemon's own. Their number is that of the open
  // engines per daemon, rounded, and at least one. Without other daemons, there are none: every
  // engine is equal.
  [[nodiscard]] std::vector<bool> own_engines(std::span<const engine_index> open) const;

 private:
  struct assigned_engine {
    std::uint64_t key = 0;            // hash of the engine's id; 0: no engine
    std::uint64_t score = 0;          // of this daemon for the engine
    std::uint32_t daemons_before = 0; // with a higher score
  };

  // Counts a daemon among those before this one, or no longer, by `change`.
  static void count_daemon(assigned_engine& engine, const daemon_id& daemon, std::uint32_t change);

  daemon_id self_;
  std::vector<daemon_id> others_; // sorted
  std::vector<assigned_engine> engines_;
};

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_LONG_PROMPT_AFFINITY_H_
