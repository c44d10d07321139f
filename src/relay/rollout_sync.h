// Carries roll-outs between the store and the daemons' decisions: reads operators' orders, stops
// bad versions, moves traffic over, and writes what became of each order.
//
// The daemons that lead read the orders and tell the others with their reports.

#ifndef WISTERIAFLOW_SRC_RELAY_ROLLOUT_SYNC_H_
#define WISTERIAFLOW_SRC_RELAY_ROLLOUT_SYNC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "rollouts.h"
#include "wisteriaflow/gateway/rollout_conductor.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class rollout_sync {
 public:
  rollout_sync(boost::asio::io_context& context, fleet_state& state, store_client& store)
      : context_(context), state_(state), store_(store)
  {
  }

  // Starts to follow orders, if this deployment has any. Never ends.
  void start();

 private:
  // What the store holds of an order, as last read.
  struct stored_order {
    std::uint64_t order = 0;
    std::uint64_t revision = 0;
    std::optional<gateway::rollout_phase> told;
  };

  boost::asio::awaitable<void> watch();
  // Takes an answer to the watch in. False if it cannot be read.
  bool take_changes(const std::string& body);
  boost::asio::awaitable<void> catch_up();
  boost::asio::awaitable<void> conduct();

  // Whether this daemon has to read all orders now.
  [[nodiscard]] bool is_list_due(mono_time now);
  // Whether the holder of the duties lacks what the store holds of an order.
  [[nodiscard]] bool lacks_stored() const;
  boost::asio::awaitable<bool> list();
  void take(const adapter::stored_object& entry);

  void judge(const gateway::rollout& order, const clock_reading& now);
  boost::asio::awaitable<void> advance(gateway::rollout order);
  // Writes the order's state as it is to be, unless the store holds it. True if it does then.
  boost::asio::awaitable<bool> write_status(gateway::rollout order);
  void take_step(const gateway::rollout& next, const gateway::rollout& before);
  [[nodiscard]] gateway::fleet_status standing(mono_time now) const;
  [[nodiscard]] gateway::version_endpoint_counts endpoints_of(const gateway::rollout& order) const;

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  gateway::rollout_controller conductor_{{}};
  std::map<std::string, stored_order> stored_; // by service
  std::optional<mono_time> behind_since_;
  bool list_wanted_ = true;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ROLLOUT_SYNC_H_
