// The configuration that operators have declared for opaque requests: routes, services, workspaces
// and limits.
//
// A configuration is immutable, with one value for each version. A request keeps the value that it
// was admitted under, so that a configuration change while it runs cannot mix two versions.
//
//   const configuration_index index(std::move(declared));
//   if (const auto* r = index.match("shop.example", "/orders/7")) { ... r->services ... }

#ifndef WISTERIAFLOW_GATEWAY_CONFIGURATION_H_
#define WISTERIAFLOW_GATEWAY_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/load/urgency.h"

namespace wisteriaflow::gateway {

// Whether a call may run more than once.
enum class call_kind {
  idempotent,     // may run again
  non_idempotent, // runs at most once
  stream, // a series of numbered events; resumes at another endpoint only if the route is resumable
};

// A service and its share of a route's calls.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// The calls that belong together by host and path prefix, the services that they go to, and how
// they are handled.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix; // begins and ends with a slash
  call_kind kind = call_kind::idempotent;
  bool resumable = false; // an interrupted stream may resume at another endpoint
  bool is_public = false; // needs no API key
  std::chrono::milliseconds timeout{30'000};
  // Time until the whole answer, or until the first event of a stream.
  std::chrono::milliseconds target_latency{1'000};
  // Longest time between two events of a stream that meets its target.
  std::chrono::milliseconds max_event_gap{1'000};
  int priority = 0;          // 0 is the most urgent
  unsigned max_attempts = 1; // endpoints that one call may be sent to, including the first
  std::vector<weighted_service> services;

  // Whether a call may be sent again when an earlier attempt may have run.
  [[nodiscard]] bool repeatable() const
  {
    return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
  }

  friend bool operator==(const route&, const route&) = default;
};

// Capacity of one model engine: the requests that it runs at once and the tokens that its KV cache
// holds.
struct engine_limits {
  std::uint32_t batch_places = 1;
  std::uint64_t kv_tokens = 0;

  friend bool operator==(const engine_limits&, const engine_limits&) = default;
};

// Bounds and prices for the number of endpoints of a service in each availability zone.
struct scaling_limits {
  unsigned min_endpoints = 0;
  unsigned max_endpoints = 0;
  std::chrono::milliseconds startup_time{0}; // from the order of an endpoint until it serves
  double reclaimable_price_ratio = 1;        // as a fraction of the price of an on-demand endpoint
  std::map<availability_zone, double> zone_prices; // of an on-demand endpoint, per second

  friend bool operator==(const scaling_limits&, const scaling_limits&) = default;
};

// A service as declared. `engine` is set for model engines, `scaling` if the daemons order
// endpoints.
struct service_definition {
  std::string name;
  std::optional<engine_limits> engine;
  std::optional<scaling_limits> scaling;

  friend bool operator==(const service_definition&, const service_definition&) = default;
};

// A workspace: the API keys of its callers, and its rate limit over the whole fleet.
struct workspace_definition {
  workspace_id id;
  std::vector<std::string> api_keys;
  std::optional<int> priority;       // overrides the priority of the route
  double rate = 0;                   // units per second; 0: no limit
  double burst = 0;                  // units
  bool counts_tokens = false;        // the unit is a token instead of a request
  double default_request_tokens = 0; // charged for a request that does not state its size

  friend bool operator==(const workspace_definition&, const workspace_definition&) = default;
};

// Everything declared at one version.
struct configuration {
  std::uint64_t version = 0;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
  std::vector<route> routes;
  std::vector<service_definition> services;
  std::vector<workspace_definition> workspaces;

  friend bool operator==(const configuration&, const configuration&) = default;
};

// A configuration with the lookup tables that every call needs.
class configuration_index {
 public:
  explicit configuration_index(configuration declared);
  ~configuration_index() = default;
  configuration_index(const configuration_index&) = delete;
  configuration_index& operator=(const configuration_index&) = delete;

  [[nodiscard]] const configuration& declared() const { return declared_; }
  [[nodiscard]] std::uint64_t version() const { return declared_.version; }

  // Returns the route of `host` (case and port are ignored) with the longest prefix of `path`, or
  // null if no route matches.
  [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;

  // Returns the workspace that `api_key` belongs to, or null.
  [[nodiscard]] const workspace_definition* workspace_of(std::string_view api_key) const;

  // Level at which engines run a call of `r`, from 0, the most urgent; see load::urgency_levels.
  // `workspace` is null for a call without one.
  [[nodiscard]] unsigned engine_level(const route& r, const workspace_definition* workspace) const;

  // Returns the service with this name, or null.
  [[nodiscard]] const service_definition* service(std::string_view name) const;

  // Whether calls of different rank classes (`load::rank_class`) may be sent to the service.
  [[nodiscard]] bool has_ranks(std::string_view service) const;

 private:
  configuration declared_;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string_view, const workspace_definition*> by_key_;
  std::unordered_map<std::string_view, const service_definition*> by_service_;
  load::urgency_levels levels_;
  std::set<std::string, std::less<>> ranked_services_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CONFIGURATION_H_
