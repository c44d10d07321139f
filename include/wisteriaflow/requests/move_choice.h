// What to do with a running generation whose endpoint has been told that it will be reclaimed.

#ifndef WISTERIAFLOW_REQUESTS_MOVE_CHOICE_H_
#define WISTERIAFLOW_REQUESTS_MOVE_CHOICE_H_

#include <cstdint>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::requests {

// What is known when the notice arrives. Rates are measured, in tokens per second; a rate of 0
// means that it is not known and the step that needs it is not chosen.
struct move_estimate {
  mono_time reclaim_at{};             // when the endpoint is gone
  std::uint64_t kv_tokens = 0;        // prompt and answer so far, as held in the KV cache
  std::uint64_t remaining_tokens = 0; // at most this many are still to come
  double decode_rate = 0;             // of the endpoint that leaves
  double transfer_rate = 0;           // KV export and import together
  double prefill_rate = 0;            // of the endpoint that would replay the prefix

  friend bool operator==(const move_estimate&, const move_estimate&) = default;
};

enum class move_choice {
  stay,    // the rest fits into the notice, or nothing else is allowed
  move_kv, // export the KV cache, cancel, import it elsewhere
  replay,  // cancel, and compute the prefix again elsewhere
};

// The cheapest way that is allowed at `now`. A non-idempotent generation (`may_replay` false) is
// never replayed: it is moved whole or finishes where it is.
[[nodiscard]] move_choice choose_move(const move_estimate& estimate, bool may_replay,
                                      mono_time now);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_MOVE_CHOICE_H_
