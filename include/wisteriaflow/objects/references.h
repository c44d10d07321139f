// Checks that declared objects refer to objects that exist and fit.

#ifndef WISTERIAFLOW_OBJECTS_REFERENCES_H_
#define WISTERIAFLOW_OBJECTS_REFERENCES_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_set>

#include "wisteriaflow/objects/declared_object.h"
#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {

// Collects what may be referred to. Add objects in the order model versions, pools, the rest: each
// is checked against those added before it.
class reference_index {
 public:
  // The reason why `object` cannot be in force beside the objects added so far, if there is one.
  [[nodiscard]] std::optional<object_fault> find_fault(const declared_object& object) const;

  // Lets later objects refer to `object`.
  void add(const declared_object& object);

 private:
  [[nodiscard]] std::optional<object_fault> find_fault(const pool& p) const;
  [[nodiscard]] std::optional<object_fault> find_fault(const routing_intent& i) const;

  std::unordered_set<model_id> models_;
  std::map<std::string, model_id> pools_; // name to model
};

// The order in which objects can refer to each other: an object's rank is above the ranks of all
// that it may refer to.
[[nodiscard]] int reference_rank(const declared_object& object);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_REFERENCES_H_
