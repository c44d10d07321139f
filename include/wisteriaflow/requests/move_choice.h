// Decides what happens to a running generation when its endpoint gets notice that the cloud will
// reclaim its instance.

#ifndef WISTERIAFLOW_REQUESTS_MOVE_CHOICE_H_
#define WISTERIAFLOW_REQUESTS_MOVE_CHOICE_H_

#include <cstdint>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::requests {

// Estimates at the time of the reclaim notice. Rates are observed, in tokens per second; a rate of
// 0 means unknown, and a choice that needs it is not made, except that `replay` is the fallback for
// idempotent generations.
struct move_estimate {
  mono_time reclaim_at{};             // when the endpoint stops running
  std::uint64_t kv_tokens = 0;        // prompt and answer so far, in the KV cache
  std::uint64_t remaining_tokens = 0; // upper bound of tokens not yet generated
  double decode_rate = 0;             // of the endpoint to be reclaimed
  double transfer_rate = 0;           // KV cache export and import together
  double prefill_rate = 0;            // of the endpoint that would recompute the prefix

  friend bool operator==(const move_estimate&, const move_estimate&) = default;
};

// How a generation continues after a reclaim notice.
enum class move_choice {
  stay,    // finish on the endpoint: the rest fits into the notice, or no move is allowed
  move_kv, // export the KV cache, cancel the attempt, import the cache on another endpoint
  replay,  // cancel the attempt and recompute the prefix on another endpoint
};

// The cheapest choice that is allowed at `now`. A non-idempotent generation (`may_replay` false) is
// never replayed: it is moved with its KV cache or finishes on its endpoint.
[[nodiscard]] move_choice choose_move(const move_estimate& estimate, bool may_replay,
                                      mono_time now);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_MOVE_CHOICE_H_
