// Backoff of a daemon between failed calls to the store.
//
// It handles a store that refuses a part of the fleet for seconds. Each daemon there retries in
// several loops, and every call costs money and adds to the load of a failing store. Therefore the
// backoff doubles with each consecutive failure up to a limit. If peers relay the store's contents,
// the limit grows with the fleet, so that all daemons together make a bounded number of calls. It
// stays below the time in which a daemon that reaches the store again must know its contents.
//
//   retry_policy policy({}, seed);
//   wait(policy.backoff_after(failures, {.daemons = 195, .peers_relay_store = true}));

#ifndef WISTERIAFLOW_GATEWAY_RETRY_POLICY_H_
#define WISTERIAFLOW_GATEWAY_RETRY_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace wisteriaflow::gateway {

struct retry_policy_options {
  std::chrono::milliseconds initial{100};
  // Range of the backoff limit. The lower end applies to a daemon that only the store can inform.
  // With the upper end, a daemon that reaches the store again knows its contents within 5 s.
  std::chrono::milliseconds min_limit{1'000};
  std::chrono::milliseconds max_limit{4'000};
  // Bound on the calls that one loop makes in all daemons together while all of them fail.
  double fleet_calls_per_second = 4;
};

struct retry_context {
  std::size_t daemons = 1;        // number of daemons that may be calling, including this one
  bool peers_relay_store = false; // whether peers relay the store's contents to this daemon

  friend bool operator==(const retry_context&, const retry_context&) = default;
};

// Not thread-safe.
class retry_policy {
 public:
  retry_policy(retry_policy_options options, std::uint64_t seed) : options_(options), random_(seed)
  {
  }

  // Backoff after this many consecutive failures (at least one), drawn uniformly between half of
  // the longest backoff and the longest, so that daemons that failed together don't retry together.
  [[nodiscard]] std::chrono::milliseconds backoff_after(unsigned failures,
                                                        const retry_context& situation);

 private:
  [[nodiscard]] std::chrono::milliseconds max_backoff_for(const retry_context& situation) const;

  retry_policy_options options_;
  std::mt19937_64 random_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RETRY_POLICY_H_
