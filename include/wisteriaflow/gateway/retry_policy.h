// How long a daemon waits before it makes a failed call of the store again.
//
// The load that this answers: a store that turns a part of a fleet away for seconds. Each daemon
// there asks again and again with several loops, and every call is priced and adds to the load of a
// store in trouble. So the pause doubles with each failure in a row up to a limit, and where peers
// pass on what the store holds, the limit grows with the fleet, so that all daemons together make a
// bounded number of calls. It stays below the time in which a daemon that reaches the store again
// has to know what holds there.
//
//   retry_policy policy({}, seed);
//   wait(policy.pause_after(failures, {.daemons = 195, .peers_tell = true}));

#ifndef WISTERIAFLOW_GATEWAY_RETRY_POLICY_H_
#define WISTERIAFLOW_GATEWAY_RETRY_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace wisteriaflow::gateway {

struct retry_policy_options {
  std::chrono::milliseconds first{100};
  // Limits of the pause. The lower one is for a daemon that only the store can tell. With the upper
  // one a daemon that the store serves again knows within 5 s what holds there.
  std::chrono::milliseconds least_limit{1'000};
  std::chrono::milliseconds most_limit{4'000};
  // Calls of one loop that all daemons together make while none of them is served.
  double fleet_calls_per_second = 4;
};

struct retry_situation {
  std::size_t daemons = 1; // that may be calling, this one included
  bool peers_tell = false; // whether this daemon hears from peers what the store holds

  friend bool operator==(const retry_situation&, const retry_situation&) = default;
};

// Not thread-safe.
class retry_policy {
 public:
  retry_policy(retry_policy_options options, std::uint64_t seed) : options_(options), random_(seed)
  {
  }

  // The pause after so many failures in a row, at least one; between half of the longest and the
  // longest, so that daemons that failed together do not come back together.
  [[nodiscard]] std::chrono::milliseconds pause_after(unsigned failures,
                                                      const retry_situation& situation);

 private:
  [[nodiscard]] std::chrono::milliseconds limit_in(const retry_situation& situation) const;

  retry_policy_options options_;
  std::mt19937_64 random_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RETRY_POLICY_H_
