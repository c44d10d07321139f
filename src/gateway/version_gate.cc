#include "wisteriaflow/gateway/version_gate.h"

#include <algorithm>

namespace wisteriaflow::gateway {

void version_gate::set_rollouts_revision(store_revision revision)
{
  rollouts_revision_ = std::max(rollouts_revision_, revision);
}

bool version_gate::is_usable(const versioned_endpoint& endpoint, const rollout_registry& registry)
{
  if (!enabled_ || endpoint.version.empty()) {
    return true;
  }
  if (registry.is_refused(endpoint.service, endpoint.version)) {
    return false;
  }
  const auto service = accepted_versions_.find(endpoint.service);
  if (service != accepted_versions_.end() && service->second.contains(endpoint.version)) {
    return true;
  }
  if (endpoint.revision > rollouts_revision_) {
    awaited_revision_ = std::max(awaited_revision_, endpoint.revision);
    return false;
  }
  accepted_versions_[std::string(endpoint.service)].emplace(endpoint.version);
  return true;
}

} // namespace wisteriaflow::gateway
