// Tells a slow call from an ordinary one of its route, whatever the route's calls take.
//
// The limit is an upper quantile of what calls took lately, estimated step by step (stochastic
// approximation), so that nothing is known beforehand of sizes or engines.

#ifndef WISTERIAFLOW_GATEWAY_PACE_H_
#define WISTERIAFLOW_GATEWAY_PACE_H_

#include <cstddef>
#include <optional>

namespace wisteriaflow::gateway {

struct pace_options {
  double quantile = 0.85;
  double step = 0.1; // of the estimate, for one sample
  // Before anything counts as slow. A rough limit does no harm where calls of two kinds are
  // compared by the same one, and a daemon of a large fleet gets few calls of a route.
  std::size_t samples = 4;
};

// Not thread-safe.
class pace_limit {
 public:
  explicit pace_limit(pace_options options = {}) : options_(options) {}

  // Whether a call that took `seconds` is slow; nothing until enough is known.
  [[nodiscard]] std::optional<bool> is_slow(double seconds) const;

  // An ordinary call took so long.
  void note(double seconds);

 private:
  pace_options options_;
  double limit_ = 0; // seconds
  std::size_t noted_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PACE_H_
