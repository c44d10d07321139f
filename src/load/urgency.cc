#include "wisteriaflow/load/urgency.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>

namespace wisteriaflow::load {

urgency_levels::urgency_levels(std::vector<call_urgency> declared) : ordered_(std::move(declared))
{
  std::sort(ordered_.begin(), ordered_.end());
  ordered_.erase(std::unique(ordered_.begin(), ordered_.end()), ordered_.end());
  if (ordered_.size() <= engine_levels) {
    return;
  }
  // Workspaces of different priority must not share a level because of their routes.
  const auto is_same = [](const call_urgency& a, const call_urgency& b) {
    return a.workspace == b.workspace;
  };
  ordered_.erase(std::unique(ordered_.begin(), ordered_.end(), is_same), ordered_.end());
  for (auto& it : ordered_) {
    it.route = std::numeric_limits<int>::min();
  }
}

unsigned urgency_levels::level_of(const call_urgency& urgency) const
{
  const auto after = std::upper_bound(ordered_.begin(), ordered_.end(), urgency);
  const auto position =
      static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, after - ordered_.begin() - 1));
  const auto level =
      ordered_.size() <= engine_levels ? position : position * engine_levels / ordered_.size();
  return static_cast<unsigned>(level);
}

} // namespace wisteriaflow::load
