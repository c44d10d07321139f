// The configuration of the whole fleet at one revision, as an immutable value.

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

// A label that every workspace has without declaring it: its own name, so that a selector can name
// one workspace. Left out for names that are too long for a label's value.
inline constexpr std::string_view name_label = "wisteriaflow.dev/name";

// What selectors look at in a request.
struct request_description {
  workspace_id workspace;
  label_set labels;
  model_id model; // empty: any

  friend bool operator==(const request_description&, const request_description&) = default;
};

// What selectors and pools look at in an instance.
struct instance_description {
  label_set labels;
  availability_zone zone;
  std::string instance_class;
  pool_role role = pool_role::engine;

  friend bool operator==(const instance_description&, const instance_description&) = default;
};

// Every declared object, valid by itself and in its references.
//
//   const auto configuration = make_fleet_configuration(41, documents);
//   for (const auto* intent : configuration.matching_intents(request)) { ... }
//
// Pointers returned live as long as the configuration.
class fleet_configuration {
 public:
  // An empty configuration at revision 0.
  fleet_configuration() = default;

  // Takes objects that are valid and have distinct names; make_fleet_configuration checks that.
  fleet_configuration(std::uint64_t revision, std::vector<declared_object> objects,
                      std::vector<not_understood_object> not_understood);

  // The highest revision that this configuration takes into account.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  // Each sorted by name, but intents by falling priority and then by name.
  [[nodiscard]] const std::vector<workspace>& workspaces() const { return workspaces_; }
  [[nodiscard]] const std::vector<pool>& pools() const { return pools_; }
  [[nodiscard]] const std::vector<model_version>& model_versions() const { return model_versions_; }
  [[nodiscard]] const std::vector<routing_intent>& intents() const { return intents_; }
  [[nodiscard]] const std::vector<service>& services() const { return services_; }
  [[nodiscard]] const std::vector<not_understood_object>& not_understood() const
  {
    return not_understood_;
  }

  // Each returns null if there is none of that name.
  [[nodiscard]] const workspace* find_workspace(const workspace_id& id) const;
  [[nodiscard]] const pool* find_pool(std::string_view name) const;
  [[nodiscard]] const service* find_service(std::string_view name) const;

  // Whether some model version, retired or not, is of `model`.
  [[nodiscard]] bool knows_model(const model_id& model) const;

  // The intents that select `request`, the one to follow first. Empty if the workspace is unknown.
  [[nodiscard]] std::vector<const routing_intent*>
  matching_intents(const request_description& request) const;

  // The model that `intent` serves: its own or its pool's.
  [[nodiscard]] model_id model_of(const routing_intent& intent) const;

  // Whether `instance` may serve `intent`: its pool takes the instance and the intent selects it.
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
  std::vector<not_understood_object> not_understood_;
  // For each workspace, the places in intents_ that select it: a request then looks only at those.
  std::unordered_map<workspace_id, std::vector<std::size_t>> intents_of_workspace_;
};

// Whether `members` takes `instance`, by selector, role, zone and class.
[[nodiscard]] bool is_eligible(const pool& members, const instance_description& instance);

// Whether `instance` runs `target`.
[[nodiscard]] bool is_eligible(const service& target, const instance_description& instance);

// Reads and checks `documents` as one whole. Throws configuration_error with every fault found;
// objects that are not understood are kept aside and are no fault.
[[nodiscard]] fleet_configuration
make_fleet_configuration(std::uint64_t revision, const std::vector<boost::json::value>& documents);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_FLEET_CONFIGURATION_H_
