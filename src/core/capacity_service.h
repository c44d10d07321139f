// The capacity duty of one daemon: contends for the lease and, while it holds it, plans and carries
// the plan out.

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
#include "wisteriaflow/capacity/lease_holder.h"
#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::core::internal {

class capacity_service {
 public:
  capacity_service(core_context& context, fleet& members, configuration& config,
                   endpoint_calls& endpoints);

  // Contends for the lease from now on, if the settings allow it.
  void start();

  void on_instances(const boost::json::value& document);

  // Gives the lease back.
  void leave();

  // GET /operator/v1/capacity: who holds the lease and, at the holder, why each instance is there.
  [[nodiscard]] boost::json::object report() const;

  // Why one instance is there, as far as this daemon knows; empty if it does not.
  [[nodiscard]] std::string reason_for(const std::string& instance) const;

 private:
  void feed_lease(const capacity::lease_event& e);
  void act(const capacity::read_lease& a);
  void act(const capacity::write_lease& a);
  void on_lease_read(std::uint64_t call, const store_answer& answer);
  void on_lease_written(std::uint64_t call, const store_answer& answer);
  void after_lease_event();

  void fetch_prices();
  void plan(const std::vector<capacity::offer>& offers);
  void act(const capacity::launch& a);
  void act(const capacity::release& a);
  void act(const capacity::order_load& a);
  void send_launches();
  void send_launch(const capacity::launch& a);
  void write_launches();
  void audit(const std::string& object_kind, const std::string& name, const std::string& cause,
             const std::string& detail);
  [[nodiscard]] bool may_order(bool checks_fencing) const;

  core_context& context_;
  fleet& fleet_;
  configuration& config_;
  endpoint_calls& endpoints_;
  capacity_inputs inputs_;
  capacity::lease_client lease_;
  capacity::planner planner_;
  listed_instances listed_;
  bool listed_once_ = false;
  std::uint64_t planning_under_ = 0;      // the fencing number that the planner has
  std::vector<capacity::launch> waiting_; // until they are written to the lease
  timer_number lease_timer_ = 0;
  std::uint64_t last_audit_ = 0;
  bool leaving_ = false;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CAPACITY_SERVICE_H_
