// Detects calls that are slow compared with other calls of the same route.
//
// The threshold is an upper quantile of recent call durations, estimated by stochastic
// approximation, so that request sizes and engines need not be known.
//
//   slow_call_detector detector;
//   const auto slow = detector.is_slow(seconds); // nothing until there are enough samples
//   detector.add_sample(seconds);

#ifndef WISTERIAFLOW_GATEWAY_SLOW_CALL_DETECTOR_H_
#define WISTERIAFLOW_GATEWAY_SLOW_CALL_DETECTOR_H_

#include <cstddef>
#include <optional>

namespace wisteriaflow::gateway {

struct slow_call_options {
  double quantile = 0.85;
  double step = 0.1; // relative change of the estimate by one sample
  // Samples before any call counts as slow. A rough threshold does no harm where calls of two kinds
  // are compared with the same one, and a daemon of a large fleet gets few calls of a route.
  std::size_t min_samples = 4;
};

// Not thread-safe.
class slow_call_detector {
 public:
  explicit slow_call_detector(slow_call_options options = {}) : options_(options) {}

  // Whether a call that took `seconds` is slow; nothing if there are too few samples.
  [[nodiscard]] std::optional<bool> is_slow(double seconds) const;

  // Adds the duration of a call to the estimate.
  void add_sample(double seconds);

 private:
  slow_call_options options_;
  double threshold_ = 0; // seconds
  std::size_t sample_count_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_SLOW_CALL_DETECTOR_H_
