#include "wisteriaflow/gateway/version_gate.h"

#include <algorithm>

namespace wisteriaflow::gateway {

void version_gate::set_known_up_to(std::uint64_t revision)
{
  known_up_to_ = std::max(known_up_to_, revision);
}

bool version_gate::is_usable(const versioned_endpoint& endpoint, const rollout_book& book)
{
  if (!enabled_ || endpoint.version.empty()) {
    return true;
  }
  if (book.is_refused(endpoint.service, endpoint.version)) {
    return false;
  }
  const auto service = seen_.find(endpoint.service);
  if (service != seen_.end() && service->second.contains(endpoint.version)) {
    return true;
  }
  if (endpoint.revision > known_up_to_) {
    wanted_ = std::max(wanted_, endpoint.revision);
    return false;
  }
  seen_[std::string(endpoint.service)].emplace(endpoint.version);
  return true;
}

} // namespace wisteriaflow::gateway
