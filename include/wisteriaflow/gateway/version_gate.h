// Decides by its version whether an endpoint may be used.
//
// Endpoints of a new version start as soon as its rollout is ordered, and the store may show them
// to a daemon before it shows the order. A version of a service that is new to this daemon is
// therefore used only once the orders are known up to a store revision at which the endpoint
// existed. If no order names the version by then, it needs no trial.

#ifndef WISTERIAFLOW_GATEWAY_VERSION_GATE_H_
#define WISTERIAFLOW_GATEWAY_VERSION_GATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::gateway {

// The properties of an endpoint that the gate uses.
struct versioned_endpoint {
  std::string_view service;
  std::string_view version; // empty: not stated
  store_revision revision;  // at which this state was read
};

// Not thread-safe.
class version_gate {
 public:
  // If not enabled, every version is used.
  explicit version_gate(bool enabled) : enabled_(enabled) {}

  // All orders up to this store revision are in the registry.
  void set_rollouts_revision(store_revision revision);
  [[nodiscard]] store_revision rollouts_revision() const { return rollouts_revision_; }

  // Whether calls may be sent to `endpoint`.
  [[nodiscard]] bool is_usable(const versioned_endpoint& endpoint,
                               const rollout_registry& registry);

  // Whether an endpoint waits until the orders are known up to a later revision.
  [[nodiscard]] bool awaits_rollouts() const { return awaited_revision_ > rollouts_revision_; }

 private:
  bool enabled_;
  store_revision rollouts_revision_;
  store_revision awaited_revision_;
  // Versions found usable, by service.
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>> accepted_versions_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_GATE_H_
