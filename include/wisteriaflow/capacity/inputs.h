// Inputs of the capacity planner as immutable values: prices, instances, demand and pools.

#ifndef WISTERIAFLOW_CAPACITY_INPUTS_H_
#define WISTERIAFLOW_CAPACITY_INPUTS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/objects/declared_object.h"

namespace wisteriaflow::capacity {

// A kind of instance that the cloud API offers.
struct offer_key {
  availability_zone zone;
  std::string instance_class;
  bool reclaimable = false;

  friend auto operator<=>(const offer_key&,
                          const offer_key&) = default; // NOLINT(modernize-use-nullptr)
};

// "zone-a/large/reclaimable" or "zone-a/large/on-demand".
[[nodiscard]] std::string to_string(const offer_key& key);

// A kind of instance with its current price.
struct offer {
  offer_key key;
  double price_per_hour = 0;

  friend bool operator==(const offer&, const offer&) = default;
};

// Measured demand of one pool. Rates are per second; prompt tokens served from a cache are not
// counted.
struct pool_demand {
  double requests = 0;
  double prefill_tokens = 0;
  double decode_tokens = 0;

  friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

// An instance of a pool, from the instance list. `leaving` is also set by a reclaim notice.
struct pool_instance {
  instance_id id;
  offer_key key;
  double price_per_hour = 0;
  bool leaving = false;
  std::string launched_with; // token of its launch; empty if not launched by a planner

  friend bool operator==(const pool_instance&, const pool_instance&) = default;
};

// A model or an adapter that every endpoint of a pool must load.
struct model_load {
  model_id model;
  std::string adapter; // empty: the model itself
  std::int64_t bytes = 0;

  friend auto operator<=>(const model_load&,
                          const model_load&) = default; // NOLINT(modernize-use-nullptr)
};

// The declared object, demand and instances of one pool.
struct pool_input {
  objects::pool pool;
  pool_demand demand;
  std::map<std::string, objects::token_rates> rates; // of the pool's model, by instance class
  std::vector<model_load> model_loads;               // in the order in which they are to be loaded
  std::vector<pool_instance> instances;

  friend bool operator==(const pool_input&, const pool_input&) = default;
};

// Everything that one planning round depends on.
struct plan_input {
  std::vector<offer> offers;
  std::vector<pool_input> pools;

  friend bool operator==(const plan_input&, const plan_input&) = default;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_INPUTS_H_
