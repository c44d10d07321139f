// The configuration of the whole fleet at one revision, as an immutable value, with lookups by name
// and by selector.

#ifndef WISTERIAFLOW_OBJECTS_FLEET_CONFIGURATION_H_
#define WISTERIAFLOW_OBJECTS_FLEET_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/objects/codec.h"
#include "wisteriaflow/objects/declared_object.h"

namespace wisteriaflow::objects {

// An implicit label of every workspace with its own name as value, so that a selector can select
// one workspace. Omitted if the name is not a valid label value, for example because it is too
// long.
inline constexpr std::string_view name_label = "wisteriaflow.dev/name";

// The properties of a request that selectors match.
struct request_description {
  workspace_id workspace;
  label_set labels;
  model_id model; // empty: any

  friend bool operator==(const request_description&, const request_description&) = default;
};

// The properties of an instance that selectors and pools match.
struct instance_description {
  label_set labels;
  availability_zone zone;
  std::string instance_class;
  pool_role role = pool_role::engine;

  friend bool operator==(const instance_description&, const instance_description&) = default;
};

// All declared objects of the fleet. Each is valid, and so are its references to other objects.
//
//   const auto configuration = make_fleet_configuration(41, documents);
//   for (const auto* intent : configuration.matching_intents(request)) { ... }
//
// Returned pointers are valid as long as the configuration exists.
class fleet_configuration {
 public:
  // An empty configuration at revision 0.
  fleet_configuration() = default;

  // The objects must be valid and have distinct names; make_fleet_configuration checks both.
  fleet_configuration(std::uint64_t revision, std::vector<declared_object> objects,
                      std::vector<unsupported_object> unsupported);

  // The highest revision of the object API that this configuration includes.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  // Each list is sorted by name, except intents: by descending priority, then by name.
  [[nodiscard]] const std::vector<workspace>& workspaces() const { return workspaces_; }
  [[nodiscard]] const std::vector<pool>& pools() const { return pools_; }
  [[nodiscard]] const std::vector<model_version>& model_versions() const { return model_versions_; }
  [[nodiscard]] const std::vector<routing_intent>& intents() const { return intents_; }
  [[nodiscard]] const std::vector<service>& services() const { return services_; }
  [[nodiscard]] const std::vector<unsupported_object>& unsupported() const { return unsupported_; }

  // Each returns null if no object of this kind has the name.
  [[nodiscard]] const workspace* find_workspace(const workspace_id& id) const;
  [[nodiscard]] const pool* find_pool(std::string_view name) const;
  [[nodiscard]] const service* find_service(std::string_view name) const;

  // Whether any version of `model` is declared, retired or not.
  [[nodiscard]] bool has_model(const model_id& model) const;

  // The intents that select `request`, in order of precedence. Empty if the workspace is unknown.
  [[nodiscard]] std::vector<const routing_intent*>
  matching_intents(const request_description& request) const;

  // The model of `intent`: its own, or else that of its pool. Empty if there is neither.
  [[nodiscard]] model_id model_of(const routing_intent& intent) const;

  // Whether `instance` may serve requests of `intent`: its pool and the intent both select it.
  [[nodiscard]] bool is_eligible(const routing_intent& intent,
                                 const instance_description& instance) const;

  friend bool operator==(const fleet_configuration&, const fleet_configuration&) = default;

 private:
  void index_intents();

  std::uint64_t revision_ = 0;
  std::vector<workspace> workspaces_;
  std::vector<pool> pools_;
  std::vector<model_version> model_versions_;
  std::vector<routing_intent> intents_;
  std::vector<service> services_;
  std::vector<unsupported_object> unsupported_;
  // For each workspace, the indices in `intents_` of the intents that select it, so that a request
  // checks only those.
  std::unordered_map<workspace_id, std::vector<std::size_t>> intents_of_workspace_;
};

// Whether `instance` belongs to `candidate_pool` by selector, role, zone and class.
[[nodiscard]] bool is_eligible(const pool& candidate_pool, const instance_description& instance);

// Whether `instance` runs `candidate_service`, by role and selector.
[[nodiscard]] bool is_eligible(const service& candidate_service,
                               const instance_description& instance);

// Decodes `documents` and validates them together, including unique names and references. Throws
// configuration_error with every violation found. Unsupported objects are stored separately and are
// not a violation.
[[nodiscard]] fleet_configuration
make_fleet_configuration(std::uint64_t revision, const std::vector<boost::json::value>& documents);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_FLEET_CONFIGURATION_H_
