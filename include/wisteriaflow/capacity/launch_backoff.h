// Which offers to leave alone for a while: those whose starts were refused, and reclaimable ones
// where a reclaim has just struck.

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
  std::chrono::milliseconds first{5'000};  // doubled with each refusal in a row
  std::chrono::milliseconds most{300'000}; // longest time that an offer is left alone
  std::chrono::milliseconds after_reclaim{120'000};
  std::uint64_t seed = 0; // of the jitter
};

// Backs off by offer, with jitter of half the time.
class launch_backoff {
 public:
  explicit launch_backoff(launch_backoff_options options);

  void on_refused(const offer_key& key, mono_time now);
  void on_started(const offer_key& key);

  // An instance of this kind is being reclaimed: what starts beside it would soon follow it.
  void on_reclaimed(const offer_key& key, mono_time now);

  [[nodiscard]] bool may_launch(const offer_key& key, mono_time now) const;

  // When the offer may be tried again; in the past if it may be now.
  [[nodiscard]] mono_time retry_at(const offer_key& key) const;

 private:
  struct state {
    int refusals = 0;
    mono_time retry_at;
  };

  launch_backoff_options options_;
  std::mt19937_64 random_;
  std::map<offer_key, state> states_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LAUNCH_BACKOFF_H_
