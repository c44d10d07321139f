// Estimates how many endpoints of a service the prompts of the whole fleet keep busy.
//
// Each daemon measures the rate of prompt tokens that it sends for prefill and the speed at which
// engines compute them, and reports the rate to its peers. With the rates of all daemons, the
// demand is
//
//   (tokens sent per second + backlog / drain time) / tokens that one endpoint computes per second
//
// where the backlog is the part of the waiting tokens that exceeds the normal queue. The backlog
// counts because a fleet with too few endpoints receives no more requests than before, yet needs
// more endpoints than the rate alone suggests.
//
//   demand_meter meter({});
//   meter.on_sent("chat", 1'200);
//   meter.on_first_token("chat", work, now);
//   meter.update_rates(daemons, now);                 // a few times per second
//   const double n = meter.busy_endpoints(
//       "chat", {.tokens_per_second = fleet_rate, .waiting_tokens = tokens});

#ifndef WISTERIAFLOW_GATEWAY_DEMAND_METER_H_
#define WISTERIAFLOW_GATEWAY_DEMAND_METER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/routing/endpoint_table.h"

namespace wisteriaflow::gateway {

// Prompt tokens per second that one daemon sends to the endpoints of each service for prefill.
// Keyed by service.
using prefill_demand = std::map<std::string, double, std::less<>>;

struct demand_meter_options {
  // The rate of prompts is smoothed over the time in which the fleet sends this many prompts,
  // within the two bounds below. Prompt sizes differ by a factor of ten, so a rate from fewer
  // prompts is mostly noise, and a longer time only delays the reaction to growth.
  double prompts_per_smoothing_time = 130;
  std::chrono::milliseconds max_smoothing_time{3'000};
  std::chrono::milliseconds min_smoothing_time{1'000};
  // Normal queue of a fleet that keeps up, as the time in which that many tokens are sent: about
  // the median time to first token of large prompts. It does not count as backlog.
  std::chrono::milliseconds normal_wait{200};
  // The backlog should be computed within this time, in addition to new prompts.
  std::chrono::milliseconds drain_time{2'000};
  // Upper limit of the backlog's rate, as a fraction of the rate sent. Calls at an endpoint that
  // stopped answering wait as well, but do not need another endpoint.
  double max_backlog_ratio = 1.0;
  double initial_speed = 30'000; // tokens/s of an endpoint until measured
};

// Demand of the whole fleet for one service.
struct fleet_demand {
  double tokens_per_second = 0; // prompt tokens sent per second
  double waiting_tokens = 0;    // prompt tokens that wait for prefill

  friend bool operator==(const fleet_demand&, const fleet_demand&) = default;
};

// Not thread-safe.
class demand_meter {
 public:
  explicit demand_meter(demand_meter_options options) : options_(options) {}

  // Records that a prompt was sent with `tokens` tokens to compute.
  void on_sent(std::string_view service, int tokens);

  // Records that the first token of `work` has arrived, which measures the speed of an endpoint.
  void on_first_token(std::string_view service, const routing::sent_attempt& work, mono_time now);

  // Updates the smoothed rates with the prompts sent since the last call. `daemons` is the number
  // of live daemons, this one included.
  void update_rates(std::size_t daemons, mono_time now);

  // Rates of this daemon as of the last `update_rates`.
  [[nodiscard]] const prefill_demand& local_rates() const { return rates_; }

  // Returns the number of endpoints of `service` that `demand` would keep busy all the time.
  [[nodiscard]] double busy_endpoints(std::string_view service, const fleet_demand& demand) const;

 private:
  struct service_state {
    double speed = 0;       // tokens/s of one endpoint
    double sent_tokens = 0; // since the last update
  };

  service_state& state_of(std::string_view service);
  [[nodiscard]] double smoothing_seconds(std::size_t daemons) const;

  demand_meter_options options_;
  std::map<std::string, service_state, std::less<>> services_;
  prefill_demand rates_;
  double prompts_sent_ = 0; // since the last update
  double prompt_rate_ = 0;  // per second
  std::optional<mono_time> updated_at_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_DEMAND_METER_H_
