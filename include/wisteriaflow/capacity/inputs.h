// What the planner is told: prices, instances, demand and pools, as immutable values.

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

// One kind of instance that the cloud API offers.
struct offer_key {
  availability_zone zone;
  std::string instance_class;
  bool reclaimable = false;

  friend auto operator<=>(const offer_key&,
                          const offer_key&) = default; // NOLINT(modernize-use-nullptr)
};

// "zone-a/large/reclaimable" or "zone-a/large/on-demand".
[[nodiscard]] std::string to_string(const offer_key& key);

struct offer {
  offer_key key;
  double price_per_hour = 0;

  friend bool operator==(const offer&, const offer&) = default;
};

// Measured demand of one pool. Rates are per second; prompt tokens that were found in a cache do
// not count.
struct pool_demand {
  double requests = 0;
  double prefill_tokens = 0;
  double decode_tokens = 0;

  friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

// One instance of a pool as the instance list shows it, `leaving` also by reclaim notice.
struct pool_instance {
  instance_id id;
  offer_key key;
  double price_per_hour = 0;
  bool leaving = false;
  std::string launched_with; // the token of its launch; empty if this duty did not start it

  friend bool operator==(const pool_instance&, const pool_instance&) = default;
};

// A model or an adapter that every endpoint of a pool must have loaded.
struct model_load {
  model_id model;
  std::string adapter; // empty: the model itself
  std::int64_t bytes = 0;

  friend auto operator<=>(const model_load&,
                          const model_load&) = default; // NOLINT(modernize-use-nullptr)
};

struct pool_input {
  objects::pool pool;
  pool_demand demand;
  std::map<std::string, objects::token_rates> rates; // of the pool's model, by instance class
  std::vector<model_load> loads;                     // in the order in which they are to be loaded
  std::vector<pool_instance> instances;

  friend bool operator==(const pool_input&, const pool_input&) = default;
};

struct plan_input {
  std::vector<offer> offers;
  std::vector<pool_input> pools;

  friend bool operator==(const plan_input&, const plan_input&) = default;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_INPUTS_H_
