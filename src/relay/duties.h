// What one daemon at a time does for the whole fleet: reports usage and orders endpoints.

#ifndef WISTERIAFLOW_SRC_RELAY_DUTIES_H_
#define WISTERIAFLOW_SRC_RELAY_DUTIES_H_

#include <optional>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "duty_calls.h"
#include "relay/fleet_state.h"
#include "relay/lease_keeper.h"
#include "relay/store_client.h"
#include "wisteriaflow/gateway/scaling_planner.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class duties {
 public:
  duties(boost::asio::io_context& context, fleet_state& state, store_client& store);

  // Starts to compete for the lease and to act while it is held. Never ends.
  void start();

 private:
  boost::asio::awaitable<void> keep_lease();
  boost::asio::awaitable<void> report_usage();
  [[nodiscard]] bool counts_are_in(std::chrono::milliseconds ago) const;
  boost::asio::awaitable<void> report_window(gateway::usage_window window);
  // The counts as they are written in the store: those of the first daemon that wrote them.
  boost::asio::awaitable<std::optional<gateway::window_counts>>
  settle_counts(gateway::usage_window window);
  boost::asio::awaitable<void> order_endpoints();
  boost::asio::awaitable<void> send_order(gateway::endpoint_order order);
  [[nodiscard]] gateway::scaling_input scaling_of(const gateway::service_definition& s) const;
  // Makes one call to the platform; the status, or nothing without an answer.
  boost::asio::awaitable<std::optional<int>> call_cloud(http::request message);
  [[nodiscard]] adapter::duty_stamp stamp() const;

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  http::client client_;
  lease_keeper lease_;
  gateway::scaling_planner planner_;
  std::set<gateway::usage_window> reported_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_DUTIES_H_
