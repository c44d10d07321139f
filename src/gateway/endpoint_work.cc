#include "wisteriaflow/gateway/endpoint_work.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace wisteriaflow::gateway {

endpoint_work_map top_endpoints(endpoint_work_map work, std::size_t max_count)
{
  if (work.size() <= max_count) {
    return work;
  }
  const auto weight = [](const endpoint_work_map::value_type* it) {
    const auto& w = it->second;
    return std::tuple(w.unreachable, w.waiting_tokens, w.waiting + w.running);
  };
  std::vector<const endpoint_work_map::value_type*> ranked;
  ranked.reserve(work.size());
  for (const auto& it : work) {
    ranked.push_back(&it);
  }
  std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(max_count),
                   ranked.end(),
                   [&](const auto* a, const auto* b) { return weight(a) > weight(b); });
  endpoint_work_map out;
  for (std::size_t i = 0; i < max_count; ++i) {
    out.insert(*ranked[i]);
  }
  return out;
}

} // namespace wisteriaflow::gateway
