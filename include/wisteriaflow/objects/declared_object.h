// What operators declare: workspaces, pools, model versions, routing intents and plain services,
// as immutable values. `codec.h` reads and writes their JSON.
//
// All kinds live in one resource of the object API, so a name is unique over all of them.

#ifndef WISTERIAFLOW_OBJECTS_DECLARED_OBJECT_H_
#define WISTERIAFLOW_OBJECTS_DECLARED_OBJECT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/objects/label_set.h"
#include "wisteriaflow/objects/selector.h"

namespace wisteriaflow::objects {

// The object API's resource that holds every declared object.
inline constexpr std::string_view declarations_plural = "declarations";

// The newest layout of `spec` that this version reads (`spec.schema`; 1 if it is absent).
inline constexpr std::int64_t newest_schema = 1;

// Priorities of requests: the higher goes first.
inline constexpr std::int64_t lowest_priority = 0;
inline constexpr std::int64_t highest_priority = 100;

// What every declared object carries.
struct object_metadata {
  std::string name;
  label_set labels;
  std::map<std::string, std::string> annotations;
  std::uint64_t revision = 0; // the object API's resourceVersion; 0 if not stored yet

  friend bool operator==(const object_metadata&, const object_metadata&) = default;
};

// The priorities that a workspace may ask for, both ends included.
struct priority_range {
  std::int64_t min = lowest_priority;
  std::int64_t max = highest_priority;

  friend bool operator==(const priority_range&, const priority_range&) = default;
};

// A customer: its share of the fleet and its limits. A limit that is absent does not bind.
struct workspace {
  object_metadata metadata;
  double share_weight = 1;
  std::optional<double> requests_per_second;
  std::optional<double> tokens_per_second;
  std::optional<std::int64_t> max_tokens_in_flight;
  priority_range priority;

  [[nodiscard]] workspace_id id() const { return workspace_id(metadata.name); }

  friend bool operator==(const workspace&, const workspace&) = default;
};

// What the instances of a pool run.
enum class pool_role { engine, service };

// How fast a pool must answer, in milliseconds.
struct latency_targets {
  std::int64_t first_token_ms = 1000;
  std::int64_t between_tokens_ms = 100;

  friend bool operator==(const latency_targets&, const latency_targets&) = default;
};

// A group of instances that serve together, and the room that capacity planning has.
struct pool {
  object_metadata metadata;
  selector instance_selector;
  pool_role role = pool_role::engine;
  model_id model; // empty if the role is service
  objects::latency_targets latency_targets;
  std::int64_t min_instances = 0;
  std::int64_t max_instances = 0;
  std::vector<availability_zone> availability_zones; // empty: all
  std::vector<std::string> instance_classes;         // empty: all
  double max_reclaimable_share = 1;                  // of the pool's instances, 0 to 1
  double headroom = 0.2;                             // spare part of the demand, 0 to 4

  friend bool operator==(const pool&, const pool&) = default;
};

// What one instance of a class does with a model version.
struct token_rates {
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;

  friend bool operator==(const token_rates&, const token_rates&) = default;
};

// One version of a model, with an adapter or without.
struct model_version {
  object_metadata metadata;
  model_id model;
  std::string version;
  std::string adapter; // empty: none
  std::int64_t weights_bytes = 0;
  std::map<std::string, token_rates> rates; // by instance class
  bool retired = false;

  friend bool operator==(const model_version&, const model_version&) = default;
};

// What a routing intent prefers among endpoints that meet the latency target.
enum class price_preference { latency, cost };

// Sends the requests that it selects to the endpoints that it selects.
struct routing_intent {
  object_metadata metadata;
  selector workspace_selector;
  selector request_selector;
  selector instance_selector;
  model_id model; // empty: the pool's
  std::string pool;
  std::int64_t priority = 50; // of the intent among intents, and of its requests by default
  bool batch = false;         // gives way to everything else
  double weight = 1;          // among requests of one priority
  objects::price_preference price_preference = objects::price_preference::latency;

  friend bool operator==(const routing_intent&, const routing_intent&) = default;
};

// A plain service beside the model engines. A call by a method that is not idempotent runs at most
// once.
struct service {
  object_metadata metadata;
  selector instance_selector;
  std::vector<std::string> idempotent_methods{"GET", "HEAD", "OPTIONS"};
  std::int64_t timeout_ms = 30'000;

  friend bool operator==(const service&, const service&) = default;
};

// Any declared object.
using declared_object = std::variant<workspace, pool, model_version, routing_intent, service>;

// The metadata of any declared object.
[[nodiscard]] const object_metadata& metadata_of(const declared_object& object);

// The kind as it stands in JSON, such as "RoutingIntent".
[[nodiscard]] std::string_view kind_of(const declared_object& object);

// All kinds, sorted as in `declared_object`.
[[nodiscard]] const std::vector<std::string_view>& known_kinds();

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_DECLARED_OBJECT_H_
