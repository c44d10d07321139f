// The decision logic of a daemon as a state machine without sockets, threads or clocks.
//
// The daemon's I/O components pass in events with the current time and perform the actions that are
// returned. Tests drive the same code with simulated events and time.
//
//   daemon_core core(options, now);
//   for (const auto& a : core.handle(call_received{1, request}, now)) { perform(a); }
//   // Call handle(ticked{}, now) at core.wake_at().

#ifndef WISTERIAFLOW_CORE_DAEMON_CORE_H_
#define WISTERIAFLOW_CORE_DAEMON_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/planner.h"
#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/core/actions.h"
#include "wisteriaflow/core/events.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::core {

// Options of capacity planning. The daemon that holds the capacity lease launches and releases
// instances.
struct capacity_options {
  bool enabled = false;
  std::chrono::milliseconds plan_period{5'000};
  std::chrono::milliseconds lease_duration{10'000};
  std::chrono::milliseconds lease_renew_period{3'000};
  std::chrono::milliseconds order_timeout{5'000};
  std::chrono::milliseconds clock_skew{1'000};
  capacity::planner_options planner;
};

// Options of a daemon_core. The defaults are those of the daemon's settings.
struct daemon_core_options {
  daemon_id self;
  instance_id instance;
  availability_zone zone;
  http::socket_address caller_address;
  http::socket_address peer_address;
  std::vector<http::socket_address> seeds; // addresses of peers to contact at the start
  std::uint64_t seed = 0;                  // of the random number generator
  bool has_cloud = false;                  // a cloud API with reclaim notices is configured

  std::chrono::milliseconds gossip_period{1'000};
  int gossip_fanout = 2;
  std::chrono::milliseconds suspect_after{5'000};
  std::chrono::milliseconds gone_after{15'000};
  std::chrono::milliseconds peer_call_timeout{500};
  std::chrono::milliseconds platform_call_timeout{1'000};
  std::chrono::milliseconds address_validity{30'000};

  std::chrono::milliseconds default_timeout{60'000};
  std::chrono::milliseconds max_timeout{600'000};
  std::chrono::milliseconds answer_retention{600'000};
  std::size_t answer_memory_bytes = std::size_t{4} << 20U;
  std::size_t requests_in_flight_limit = 1'024;
  std::size_t prompt_limit_bytes = std::size_t{1} << 20U;
  std::int64_t output_token_limit = 16'384;

  claims::claim_settings claims;

  std::size_t subset_size = 64;
  std::chrono::milliseconds load_period{1'000};
  std::chrono::milliseconds first_token_target{540};
  double retry_budget = 0.1; // retries as a fraction of new requests

  std::chrono::milliseconds drain_grace{20'000};

  capacity_options capacity;
};

// The state machine of one daemon. Not thread-safe: all calls must come from one thread.
class daemon_core {
 public:
  daemon_core(daemon_core_options options, clock_reading now);
  ~daemon_core();
  daemon_core(const daemon_core&) = delete;
  daemon_core& operator=(const daemon_core&) = delete;

  // Processes one event and the timers that are due. Returns the actions to perform, in order.
  [[nodiscard]] std::vector<action> handle(event e, clock_reading now);

  // Returns when handle() must be called with ticked{}, unless another event comes earlier.
  [[nodiscard]] std::optional<mono_time> wake_at() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_DAEMON_CORE_H_
