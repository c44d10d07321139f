// Connects the lease state machine, capacity::lease_client, with the store: performs its reads and
// writes, and publishes whether this daemon is the leader.
//
//   lease_keeper lease(context, state, store);
//   lease.tick(); // a few times a second
//   if (lease.holds_lease()) { ... } // send orders with lease.fencing_number()

#ifndef WISTERIAFLOW_SRC_RELAY_LEASE_KEEPER_H_
#define WISTERIAFLOW_SRC_RELAY_LEASE_KEEPER_H_

#include <chrono>
#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "wisteriaflow/base/suspension_clock.h"
#include "wisteriaflow/capacity/lease_client.h"

namespace wisteriaflow::relay {

// Reads both monotonic clocks of this instance: the one that stops while the instance is suspended,
// and the one that does not.
[[nodiscard]] uptime_reading read_uptime();

// Acquires, renews and releases the fleet lease. Not thread-safe.
class lease_keeper {
 public:
  lease_keeper(boost::asio::io_context& context, fleet_state& state, store_client& store,
               std::function<uptime_reading()> uptime = read_uptime);

  // Does the work that is due; call a few times a second.
  void tick();

  // Whether this daemon is the leader now and may make calls for the whole fleet, with
  // fencing_number().
  [[nodiscard]] bool holds_lease() const;
  [[nodiscard]] std::uint64_t fencing_number() const { return holder_.fencing_number(); }

 private:
  void execute(std::vector<capacity::lease_action> actions);
  boost::asio::awaitable<void> read(capacity::read_lease a);
  boost::asio::awaitable<void> write(capacity::write_lease a);
  void on_event(const capacity::lease_event& e);
  // The time used for the lease, which includes suspensions of the instance: while an instance is
  // suspended, its lease expires and another daemon may take it.
  [[nodiscard]] clock_reading lease_time() const;
  void report_suspension();

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  capacity::lease_client holder_;
  suspension_clock clock_;
  std::chrono::nanoseconds last_suspended_{0}; // total as of the last report_suspension()
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_LEASE_KEEPER_H_
