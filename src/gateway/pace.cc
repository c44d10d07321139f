#include "wisteriaflow/gateway/pace.h"

#include <algorithm>

namespace wisteriaflow::gateway {

std::optional<bool> pace_limit::is_slow(double seconds) const
{
  if (noted_ < options_.samples) {
    return std::nullopt;
  }
  return seconds > limit_;
}

void pace_limit::note(double seconds)
{
  ++noted_;
  if (noted_ <= options_.samples) {
    limit_ = std::max(limit_, seconds); // the largest of a few is near the quantile
    return;
  }
  const bool above = seconds > limit_;
  limit_ *= 1 + options_.step * (above ? options_.quantile : options_.quantile - 1);
}

} // namespace wisteriaflow::gateway
