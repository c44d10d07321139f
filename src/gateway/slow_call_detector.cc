#include "wisteriaflow/gateway/slow_call_detector.h"

#include <algorithm>

namespace wisteriaflow::gateway {

std::optional<bool> slow_call_detector::is_slow(double seconds) const
{
  if (sample_count_ < options_.min_samples) {
    return std::nullopt;
  }
  return seconds > threshold_;
}

void slow_call_detector::add_sample(double seconds)
{
  ++sample_count_;
  if (sample_count_ <= options_.min_samples) {
    threshold_ = std::max(threshold_, seconds); // the largest of a few is near the quantile
    return;
  }
  const bool above = seconds > threshold_;
  threshold_ *= 1 + options_.step * (above ? options_.quantile : options_.quantile - 1);
}

} // namespace wisteriaflow::gateway
