// How many endpoints of a service the fleet's prompts keep busy.
//
// One daemon counts the prompt tokens that it sends to be computed and how fast engines compute
// them, and tells its peers the rate. With theirs, the demand is
//
//   (tokens sent a second + backlog / drain time) / tokens an endpoint computes a second
//
// where the backlog is what waits beyond the ordinary. It counts, since a fleet that is short of
// endpoints is sent no more than before, yet needs more than it gets.
//
//   demand_meter meter({});
//   meter.on_sent("chat", 1'200);
//   meter.on_first_token("chat", work, now);
//   meter.refresh(daemons, now);                      // a few times a second
//   const double n = meter.busy_endpoints("chat", {.sent = fleet_rate, .waiting = tokens});

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

// Prompt tokens a second that one daemon sends to a service's endpoints to be computed, by service.
using prefill_demand = std::map<std::string, double, std::less<>>;

struct demand_meter_options {
  // Prompts sent are smoothed into a rate over the time in which the fleet sends so many, within
  // these bounds: they differ by a factor of ten, so a rate of fewer is mostly noise, and a longer
  // time only delays the answer to growth.
  double smoothed_prompts = 130;
  std::chrono::milliseconds longest_smoothing{3'000};
  std::chrono::milliseconds shortest_smoothing{1'000};
  // What a fleet that keeps up has waiting at any moment, as time of what is sent to it: about the
  // median time to the first token of large prompts. It is no backlog.
  std::chrono::milliseconds ordinary_wait{200};
  // What waits beyond that is to be computed within this time beside what comes.
  std::chrono::milliseconds drain_time{2'000};
  // What waits counts up to this part of what is sent: calls at an endpoint that has gone silent
  // wait as well, and need no other.
  double most_backlog = 1.0;
  double initial_speed = 30'000; // tokens/s of an endpoint, until measured
};

// What the whole fleet sends to a service and has waiting there.
struct fleet_demand {
  double sent = 0;    // prompt tokens a second
  double waiting = 0; // prompt tokens that wait to be computed

  friend bool operator==(const fleet_demand&, const fleet_demand&) = default;
};

// Not thread-safe.
class demand_meter {
 public:
  explicit demand_meter(demand_meter_options options) : options_(options) {}

  // A prompt was sent of which `tokens` are to be computed.
  void on_sent(std::string_view service, int tokens);

  // The first token of `work` has come.
  void on_first_token(std::string_view service, const routing::sent_work& work, mono_time now);

  // Smooths what was sent since the last call into rates. `daemons`: those of the fleet that are
  // heard, this one included.
  void refresh(std::size_t daemons, mono_time now);

  // Of this daemon, as of the last refresh.
  [[nodiscard]] const prefill_demand& own() const { return rates_; }

  // Endpoints of `service` that `demand` would keep busy all the time.
  [[nodiscard]] double busy_endpoints(std::string_view service, const fleet_demand& demand) const;

 private:
  struct service_state {
    double speed = 0;       // tokens/s of one endpoint
    double sent_tokens = 0; // since the last refresh
  };

  service_state& state_of(std::string_view service);
  [[nodiscard]] double smoothing_seconds(std::size_t daemons) const;

  demand_meter_options options_;
  std::map<std::string, service_state, std::less<>> services_;
  prefill_demand rates_;
  double prompts_sent_ = 0; // since the last refresh
  double prompt_rate_ = 0;  // a second
  std::optional<mono_time> refreshed_at_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_DEMAND_METER_H_
