// Validates the references between declared objects: a pool refers to a model, and a routing intent
// to a pool whose model matches.

#ifndef WISTERIAFLOW_OBJECTS_REFERENCE_INDEX_H_
#define WISTERIAFLOW_OBJECTS_REFERENCE_INDEX_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_set>

#include "wisteriaflow/objects/declared_object.h"
#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {

// Index of the objects that others may refer to. Add objects in ascending dependency_rank: model
// versions, pools, then the rest, because each object is validated against those added before it.
class reference_index {
 public:
  // The first invalid reference of `object` to the objects added so far, or nullopt.
  [[nodiscard]] std::optional<field_violation> find_violation(const declared_object& object) const;

  // Adds `object`, so that later objects can refer to it.
  void add(const declared_object& object);

 private:
  [[nodiscard]] std::optional<field_violation> find_violation(const pool& p) const;
  [[nodiscard]] std::optional<field_violation> find_violation(const routing_intent& i) const;

  std::unordered_set<model_id> models_;
  std::map<std::string, model_id> pools_; // by name: the model of the pool
};

// The position of the object's kind in the dependency order, from 0: an object's rank is above the
// rank of every object that it may refer to.
[[nodiscard]] int dependency_rank(const declared_object& object);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_REFERENCE_INDEX_H_
