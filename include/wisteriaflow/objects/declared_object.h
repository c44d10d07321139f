// The objects that operators declare: workspaces, pools, model versions, routing intents and plain
// services, as immutable values. `codec.h` decodes and encodes their JSON.
//
// All kinds are stored in one resource of the object API, so a name is unique among all kinds.

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

// The resource of the object API that stores every declared object.
inline constexpr std::string_view declarations_plural = "declarations";

// The newest schema of `spec` that this version of the software reads (`spec.schema`; 1 if absent).
inline constexpr std::int64_t newest_schema = 1;

// The range of request priorities. Requests of a higher priority are served first.
inline constexpr std::int64_t lowest_priority = 0;
inline constexpr std::int64_t highest_priority = 100;

// The metadata of every declared object.
struct object_metadata {
  std::string name;
  label_set labels;
  std::map<std::string, std::string> annotations;
  std::uint64_t revision = 0; // the object API's resourceVersion; 0 if not stored yet

  friend bool operator==(const object_metadata&, const object_metadata&) = default;
};

// The priorities that requests of a workspace may use, both ends included.
struct priority_range {
  std::int64_t min = lowest_priority;
  std::int64_t max = highest_priority;

  friend bool operator==(const priority_range&, const priority_range&) = default;
};

// A customer (tenant): its share of the fleet and its limits. An absent limit means unlimited.
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

// What the instances of a pool run: model engines or plain services.
enum class pool_role { engine, service };

// Latency targets of a pool, in milliseconds: time to the first token and between two tokens.
struct latency_targets {
  std::int64_t first_token_ms = 1000;
  std::int64_t between_tokens_ms = 100;

  friend bool operator==(const latency_targets&, const latency_targets&) = default;
};

// A group of instances that serve one model or plain services, and the limits for capacity
// planning.
struct pool {
  object_metadata metadata;
  selector instance_selector;
  pool_role role = pool_role::engine;
  model_id model; // empty if and only if the role is service
  objects::latency_targets latency_targets;
  std::int64_t min_instances = 0;
  std::int64_t max_instances = 0;
  std::vector<availability_zone> availability_zones; // empty: all
  std::vector<std::string> instance_classes;         // empty: all
  double max_reclaimable_share = 1;                  // fraction of the pool's instances that may
                                                     // be reclaimable, 0 to 1
  double headroom = 0.2; // spare capacity relative to the demand, 0 to 4

  friend bool operator==(const pool&, const pool&) = default;
};

// The throughput of one instance of some class with a model version, in tokens per second.
struct token_rates {
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;

  friend bool operator==(const token_rates&, const token_rates&) = default;
};

// One version of a model, with or without an adapter.
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

// The preference of a routing intent among the endpoints that meet the latency targets.
enum class price_preference { latency, cost };

// Routes the requests that match its selectors to the matching endpoints of a pool.
struct routing_intent {
  object_metadata metadata;
  selector workspace_selector;
  selector request_selector;
  selector instance_selector;
  model_id model; // empty: the model of the pool
  std::string pool;
  std::int64_t priority = 50; // order among intents, and the default priority of its requests
  bool batch = false;         // its requests yield to all requests that are not batch
  double weight = 1;          // relative share among requests of the same priority
  objects::price_preference price_preference = objects::price_preference::latency;

  friend bool operator==(const routing_intent&, const routing_intent&) = default;
};

// A plain service that runs next to the model engines. A call is executed at most once unless its
// method is listed as idempotent.
struct service {
  object_metadata metadata;
  selector instance_selector;
  std::vector<std::string> idempotent_methods{"GET", "HEAD", "OPTIONS"};
  std::int64_t timeout_ms = 30'000;

  friend bool operator==(const service&, const service&) = default;
};

// A declared object of any kind.
using declared_object = std::variant<workspace, pool, model_version, routing_intent, service>;

// The metadata of `object`, whatever its kind.
[[nodiscard]] const object_metadata& metadata_of(const declared_object& object);

// The kind as written in JSON, such as "RoutingIntent".
[[nodiscard]] std::string_view kind_of(const declared_object& object);

// All kinds, in the order of the alternatives of `declared_object`.
[[nodiscard]] const std::vector<std::string_view>& known_kinds();

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_DECLARED_OBJECT_H_
