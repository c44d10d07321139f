// Capacity planning at one daemon: competes for the capacity lease and, while it holds the lease,
// plans the instances of each pool and carries out the plan through the cloud API.

#ifndef WISTERIAFLOW_SRC_CORE_CAPACITY_SERVICE_H_
#define WISTERIAFLOW_SRC_CORE_CAPACITY_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "core/capacity_inputs.h"
#include "core/configuration.h"
#include "core/core_context.h"
#include "core/endpoint_calls.h"
#include "core/fleet.h"
#include "wisteriaflow/capacity/lease_client.h"
#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::core::internal {

class capacity_service {
 public:
  capacity_service(core_context& context, fleet& members, configuration& config,
                   endpoint_calls& endpoints);

  // Starts to compete for the lease, if capacity planning is enabled and a cloud API is configured.
  void start();

  void on_instances(const boost::json::value& document);

  // Stops planning and releases the lease.
  void stop();

  // Returns the body of GET /operator/v1/capacity: the lease holder and, at the holder, why each
  // instance is running.
  [[nodiscard]] boost::json::object report() const;

  // Returns why an instance is running. Empty unless this daemon holds the lease and knows it.
  [[nodiscard]] std::string reason_for(const std::string& instance) const;

 private:
  void feed_lease(const capacity::lease_event& e);
  void perform(const capacity::read_lease& a);
  void perform(const capacity::write_lease& a);
  void on_lease_read(std::uint64_t call, const store_answer& answer);
  void on_lease_written(std::uint64_t call, const store_answer& answer);
  void apply_lease_state();

  void fetch_prices();
  void plan(const std::vector<capacity::offer>& offers);
  void perform(const capacity::launch& a);
  void perform(const capacity::release& a);
  void perform(const capacity::order_load& a);
  void send_launches();
  void send_launch(const capacity::launch& a);
  void store_launches();
  void audit(const std::string& object_kind, const std::string& name, const std::string& cause,
             const std::string& detail);
  [[nodiscard]] bool may_issue_order(bool checks_fencing) const;

  core_context& context_;
  fleet& fleet_;
  configuration& config_;
  endpoint_calls& endpoints_;
  capacity_inputs inputs_;
  capacity::lease_client lease_;
  capacity::planner planner_;
  listed_instances listed_;
  bool has_instance_list_ = false;
  std::uint64_t planner_fencing_number_ = 0;      // of the lease under which the planner runs
  std::vector<capacity::launch> unsent_launches_; // until their tokens are stored in the lease
  timer_number lease_timer_ = 0;
  std::uint64_t last_audit_ = 0;
  bool stopping_ = false;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CAPACITY_SERVICE_H_
