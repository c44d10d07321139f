// Backoff per offer: no launches for a while from offers whose launches were refused, and from
// reclaimable offers of which an instance has just been reclaimed.

#ifndef WISTERIAFLOW_CAPACITY_LAUNCH_BACKOFF_H_
#define WISTERIAFLOW_CAPACITY_LAUNCH_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

struct launch_backoff_options {
  std::chrono::milliseconds initial{5'000}; // doubles with each consecutive refusal
  std::chrono::milliseconds limit{300'000}; // longest backoff after a refusal
  std::chrono::milliseconds reclaim_backoff{120'000};
  std::uint64_t seed = 0; // of the jitter
};

// Tracks the backoff of each offer. The backoff after a refusal is drawn uniformly between half and
// the whole of its nominal time.
class launch_backoff {
 public:
  explicit launch_backoff(launch_backoff_options options);

  void on_refused(const offer_key& key, mono_time now);
  void on_started(const offer_key& key);

  // Records that an instance of this kind is being reclaimed: a new one would probably be reclaimed
  // soon as well.
  void on_reclaimed(const offer_key& key, mono_time now);

  [[nodiscard]] bool may_launch(const offer_key& key, mono_time now) const;

  // When the offer may be used again; a time in the past if it may be used now.
  [[nodiscard]] mono_time retry_at(const offer_key& key) const;

 private:
  struct state {
    int refusals = 0;
    mono_time retry_at;
  };

  launch_backoff_options options_;
  std::mt19937_64 rng_;
  std::map<offer_key, state> states_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LAUNCH_BACKOFF_H_
