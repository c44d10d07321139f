// Connects rollouts in the store with the daemons' decisions: reads the operators' orders, stops
// bad versions, moves traffic to new ones, and writes the status of each order.
//
// The coordinators read the orders and pass them on to the other daemons in their reports. Every
// coordinator may stop a bad version; only the leader moves traffic and writes the status.

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
#include "wisteriaflow/gateway/rollout_controller.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class rollout_sync {
 public:
  rollout_sync(boost::asio::io_context& context, fleet_state& state, store_client& store)
      : context_(context), state_(state), store_(store)
  {
    store_.add_restore_callback([this] { on_store_restored(); });
  }

  // Starts to follow orders if the settings enable rollouts. Never ends.
  void start();

 private:
  // An order's entry in the store, as last read.
  struct stored_order {
    std::uint64_t order = 0;
    gateway::store_revision revision;
    std::optional<gateway::rollout_phase> written_phase;
  };

  boost::asio::awaitable<void> watch();
  // Applies the answer of a watch. Returns false if it is unreadable.
  void apply_changes(const adapter::change_page& page);
  boost::asio::awaitable<void> refresh_list();
  boost::asio::awaitable<void> advance_rollouts();

  // Whether this daemon must list all orders now.
  [[nodiscard]] bool is_list_due(mono_time now);
  // Whether this daemon is the leader and lacks the store's entry of an open order.
  [[nodiscard]] bool lacks_stored_order() const;
  // Reads all orders. Returns false if the list is incomplete.
  boost::asio::awaitable<bool> list_rollouts();
  void apply_entry(const adapter::stored_object& entry);
  // Orders that the restored store lacks are written again by the operator.
  void on_store_restored();

  void stop_if_bad(const gateway::rollout& order, const clock_reading& now);
  boost::asio::awaitable<void> advance(gateway::rollout order);
  // Writes the order's status unless the store already has it. Returns whether the store has it
  // now.
  boost::asio::awaitable<bool> write_status(gateway::rollout order);
  void apply_phase_change(const gateway::rollout& next, const gateway::rollout& before);
  [[nodiscard]] gateway::fleet_status fleet_status_at(mono_time now) const;
  [[nodiscard]] gateway::version_endpoint_counts endpoints_of(const gateway::rollout& order) const;

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  gateway::rollout_controller conductor_{{}};
  std::map<std::string, stored_order> stored_orders_; // by service
  std::optional<mono_time> behind_since_;
  bool list_requested_ = true;
  // Until then, orders that are missing in the store do not count as withdrawn.
  std::optional<mono_time> withdrawals_held_until_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ROLLOUT_SYNC_H_
