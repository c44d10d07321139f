// What operators have declared for opaque requests: routes, services, workspaces and limits.
//
// One immutable value for each version. A request keeps the value that it was admitted under, so
// that a change in the middle of its life cannot mix two versions.
//
//   const configuration_index index(std::move(declared));
//   if (const auto* r = index.match("shop.example", "/orders/7")) { ... r->services ... }

#ifndef WISTERIAFLOW_GATEWAY_CONFIGURATION_H_
#define WISTERIAFLOW_GATEWAY_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

// How often one call may run at an endpoint.
enum class call_kind {
  idempotent,     // may run again
  non_idempotent, // runs at most once
  stream,         // a series of numbered events; may go on elsewhere only where resumable
};

// A service that takes part of a route's calls.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// Which calls go to which services, and how they are treated.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix; // begins and ends with a slash
  call_kind kind = call_kind::idempotent;
  bool resumable = false; // a broken stream may go on at another endpoint
  bool is_public = false; // needs no API key
  std::chrono::milliseconds timeout{30'000};
  std::chrono::milliseconds target_latency{1'000}; // to the whole answer, or to the first event
  std::chrono::milliseconds longest_pause{1'000};  // between events of a stream that is in time
  int priority = 0;                                // 0 is the most urgent
  unsigned max_attempts = 1;                       // endpoints that one call may be sent to
  std::vector<weighted_service> services;

  // Whether a call may be sent again after it may have run.
  [[nodiscard]] bool repeatable() const
  {
    return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
  }

  friend bool operator==(const route&, const route&) = default;
};

// What a model engine of a service can hold.
struct engine_limits {
  std::uint32_t batch_places = 1;
  std::uint64_t kv_tokens = 0;

  friend bool operator==(const engine_limits&, const engine_limits&) = default;
};

// Bounds and prices for the number of endpoints of a service in each availability zone.
struct scaling_limits {
  unsigned least = 0;
  unsigned most = 0;
  std::chrono::milliseconds start_time{0};         // from an order until the endpoint serves
  double reclaimable_price = 1;                    // as a part of an on-demand endpoint's price
  std::map<availability_zone, double> zone_prices; // of an on-demand endpoint, a second

  friend bool operator==(const scaling_limits&, const scaling_limits&) = default;
};

// A service as declared.
struct service_definition {
  std::string name;
  std::optional<engine_limits> engine;
  std::optional<scaling_limits> scaling;

  friend bool operator==(const service_definition&, const service_definition&) = default;
};

// A workspace: who its callers are and how much they may ask for, over the whole fleet.
struct workspace_definition {
  workspace_id id;
  std::vector<std::string> api_keys;
  std::optional<int> priority; // overrides the route's
  double rate = 0;             // units a second; 0: no limit
  double burst = 0;            // units
  bool counts_tokens = false;  // the unit is a token, not a request
  double unsized_tokens = 0;   // counted for a request that does not say its size

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

// A configuration with the look-ups that every call needs.
class configuration_index {
 public:
  explicit configuration_index(configuration declared);
  ~configuration_index() = default;
  configuration_index(const configuration_index&) = delete;
  configuration_index& operator=(const configuration_index&) = delete;

  [[nodiscard]] const configuration& declared() const { return declared_; }
  [[nodiscard]] std::uint64_t version() const { return declared_.version; }

  // The route of `host` (case and port ignored) whose prefix is the longest that begins `path`;
  // null if there is none.
  [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;

  // The workspace that holds `api_key`, or null.
  [[nodiscard]] const workspace_definition* workspace_of(std::string_view api_key) const;

  // The service by name, or null.
  [[nodiscard]] const service_definition* service(std::string_view name) const;

 private:
  configuration declared_;
  // Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string_view, const workspace_definition*> by_key_;
  std::unordered_map<std::string_view, const service_definition*> by_service_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CONFIGURATION_H_
