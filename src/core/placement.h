// The choice of the endpoint for an attempt: the declared routing intents determine the eligible
// endpoints, and the routing policy chooses among them.

#ifndef WISTERIAFLOW_SRC_CORE_PLACEMENT_H_
#define WISTERIAFLOW_SRC_CORE_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "core/core_context.h"
#include "core/fleet.h"
#include "wisteriaflow/objects/fleet_configuration.h"
#include "wisteriaflow/routing/choose_endpoint.h"

namespace wisteriaflow::core::internal {

// The endpoints that a request may be sent to and the properties that the choice depends on. Fixed
// when the request is admitted.
struct route {
  std::string intent;  // empty for a plain service
  std::string service; // empty for a generation (a request to a model engine)
  model_id model;
  std::int64_t priority = 0;
  bool batch = false;
  bool prefers_cost = false;
  objects::request_description description;
  std::vector<std::uint64_t> blocks; // prefix block hashes of the prompt
  int prompt_tokens = 0;
  int output_tokens = 0;
  std::chrono::milliseconds first_token_target{};
  mono_time deadline;
};

// An endpoint chosen for one attempt.
struct placed {
  endpoint_id endpoint;
  http::socket_address address;
  routing::endpoint_slot slot = 0;
  int expected_cached_tokens = 0; // prompt tokens that are probably in its KV cache
  mono_time first_token_at;
};

// No endpoint can take the attempt now.
struct not_placed {
  routing::no_endpoint_reason reason = routing::no_endpoint_reason::no_candidate;
  mono_time retry_at;
};

using placement_result = std::variant<placed, not_placed>;

class placement {
 public:
  placement(core_context& context, fleet& members);

  // Returns the route of a request under the configuration in force, or nothing if no routing
  // intent selects it.
  [[nodiscard]] std::optional<route> route_for(const objects::fleet_configuration& configuration,
                                               const objects::request_description& request) const;

  // Chooses an endpoint that is not in `excluded`.
  [[nodiscard]] placement_result place(const objects::fleet_configuration& configuration,
                                       const route& r, const std::set<endpoint_id>& excluded);

  // Returns the fraction of batch slots in use at the endpoints that the request may be sent to.
  [[nodiscard]] double utilisation(const objects::fleet_configuration& configuration,
                                   const route& r) const;

  // Returns the decision of place() for operators, with the evaluation of each candidate.
  [[nodiscard]] boost::json::value explain(const objects::fleet_configuration& configuration,
                                           const route& r);

 private:
  [[nodiscard]] std::vector<routing::endpoint_slot>
  candidates(const objects::fleet_configuration& configuration, const route& r) const;
  [[nodiscard]] routing::routing_options options_for(const route& r) const;
  [[nodiscard]] routing::request_view view_of(const route& r) const;

  core_context& context_;
  fleet& fleet_;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_PLACEMENT_H_
