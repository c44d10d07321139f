// Collects the inputs of the capacity planner from the fleet and the configuration.

#ifndef WISTERIAFLOW_SRC_CORE_CAPACITY_INPUTS_H_
#define WISTERIAFLOW_SRC_CORE_CAPACITY_INPUTS_H_

#include <map>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/fleet.h"
#include "wisteriaflow/capacity/inputs.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/objects/fleet_configuration.h"

namespace wisteriaflow::core::internal {

// The parts of the instance list that the planner needs.
struct listed_instances {
  std::vector<membership::member> endpoints;
  std::map<std::string, std::string> launched_with; // launch tokens by instance id
};

class capacity_inputs {
 public:
  capacity_inputs(core_context& context, fleet& members) : context_(context), fleet_(members) {}

  // Returns the pools with their instances and demand. An instance belongs to the pool that it was
  // launched for, else to the first pool by name whose selector matches it.
  [[nodiscard]] std::vector<capacity::pool_input>
  pools(const objects::fleet_configuration& configuration, const listed_instances& listed);

 private:
  [[nodiscard]] capacity::pool_instance instance_of(const membership::member& m,
                                                    const listed_instances& listed) const;
  void estimate_demand(capacity::pool_input& in) const;

  core_context& context_;
  fleet& fleet_;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CAPACITY_INPUTS_H_
