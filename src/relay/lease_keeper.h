// Carries the lease of the fleet's duties between capacity::lease_holder and the store.

#ifndef WISTERIAFLOW_SRC_RELAY_LEASE_KEEPER_H_
#define WISTERIAFLOW_SRC_RELAY_LEASE_KEEPER_H_

#include <chrono>
#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "wisteriaflow/base/suspension_clock.h"
#include "wisteriaflow/capacity/lease_holder.h"

namespace wisteriaflow::relay {

// Both monotonic clocks of this instance, read now.
[[nodiscard]] uptime_reading read_uptime();

// Not thread-safe.
class lease_keeper {
 public:
  lease_keeper(boost::asio::io_context& context, fleet_state& state, store_client& store,
               std::function<uptime_reading()> uptime = read_uptime);

  // Lets time pass: call a few times a second.
  void tick();

  // Whether calls may be made now for the whole fleet, under `fencing_number`.
  [[nodiscard]] bool may_act() const;
  [[nodiscard]] std::uint64_t fencing_number() const { return holder_.fencing_number(); }

 private:
  void carry_out(std::vector<capacity::lease_action> actions);
  boost::asio::awaitable<void> read(capacity::read_lease a);
  boost::asio::awaitable<void> write(capacity::write_lease a);
  void answer(const capacity::lease_event& e);
  // All times of the lease are by this: another daemon may hold it by the time at which an instance
  // that was suspended goes on.
  [[nodiscard]] clock_reading lease_time() const;
  void note_suspension();

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  capacity::lease_client holder_;
  suspension_clock clock_;
  std::chrono::nanoseconds suspended_{0}; // as last noted
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_LEASE_KEEPER_H_
