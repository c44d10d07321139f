// Work that only the leader of the fleet, the holder of the lease, does for all daemons: it reports
// usage to the platform and orders endpoints from it.

#ifndef WISTERIAFLOW_SRC_RELAY_LEADER_DUTIES_H_
#define WISTERIAFLOW_SRC_RELAY_LEADER_DUTIES_H_

#include <optional>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "leader_calls.h"
#include "relay/fleet_state.h"
#include "relay/lease_keeper.h"
#include "relay/store_client.h"
#include "wisteriaflow/gateway/scaling_planner.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::relay {

// Runs the leader's work while this daemon holds the lease. Not thread-safe.
class leader_duties {
 public:
  leader_duties(boost::asio::io_context& context, fleet_state& state, store_client& store);

  // Starts the coroutines that compete for the lease and, while it is held, act. They never end.
  // Does nothing if the settings name no platform API.
  void start();

 private:
  boost::asio::awaitable<void> maintain_lease();
  boost::asio::awaitable<void> report_usage();
  [[nodiscard]] bool counts_are_complete(std::chrono::milliseconds ago) const;
  boost::asio::awaitable<void> report_window(gateway::usage_window window);
  // Stores the counts of a window and returns them, or those that an earlier leader has stored:
  // every report of a window has the same counts. Returns nullopt if the store did not answer.
  boost::asio::awaitable<std::optional<gateway::window_counts>>
  persist_counts(gateway::usage_window window);
  boost::asio::awaitable<void> run_scaling();
  boost::asio::awaitable<void> send_order(gateway::endpoint_order order);
  [[nodiscard]] gateway::scaling_input
  scaling_input_for(const gateway::service_definition& s) const;
  // Sends one call to the platform API. Returns the status, or nullopt if there was no answer.
  boost::asio::awaitable<std::optional<int>> call_cloud(http::request message);
  [[nodiscard]] adapter::leader_identity identity() const;

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  http::client client_;
  lease_keeper lease_;
  gateway::scaling_planner planner_;
  std::set<gateway::usage_window> reported_windows_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_LEADER_DUTIES_H_
