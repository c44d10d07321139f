// Chooses the version of a service that a call goes to while a rollout is open, and counts the
// outcomes.
//
// During the trial the target gets a fixed fraction of this daemon's own calls of each route and no
// more. The fractions of all daemons add up to no more than the same fraction of the fleet's calls,
// whichever daemons join, stop or are partitioned, so no coordination is needed for a single call.
//
//   traffic_splitter splitter({.source = self, .target_fraction = 0.08});
//   splitter.update_orders(registry);                           // when the registry has changed
//   const auto selection = splitter.select({.service = s, .route = r}, false, now);
//   splitter.on_sent({.service = s, .route = r, .version = chosen.version});
//   splitter.on_ended({... the same ...}, {.is_counted = true, .failed = true});

#ifndef WISTERIAFLOW_GATEWAY_TRAFFIC_SPLITTER_H_
#define WISTERIAFLOW_GATEWAY_TRAFFIC_SPLITTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/slow_call_detector.h"
#include "wisteriaflow/gateway/version_counts.h"

namespace wisteriaflow::gateway {

// The endpoints of a service that a call may go to.
struct version_selection {
  enum class subset {
    any,      // no rollout is open
    baseline, // all endpoints except those of the target
    trial,    // a few endpoints of the target
    target,   // all endpoints of the target
  };

  subset endpoints = subset::any;
  std::string_view target; // version; empty for `any`
  // For `trial`: the seed that selects the endpoints, the same in all daemons, and their number as
  // a fraction of the number of baseline endpoints.
  std::uint64_t trial_seed = 0;
  double target_fraction = 0;

  friend bool operator==(const version_selection&, const version_selection&) = default;
};

// A call before its endpoint is chosen.
struct pending_call {
  std::string_view service;
  std::string_view route;
  // Calls with equal keys move together: those that share a prompt prefix.
  std::uint64_t affinity_key = 0;
};

// An attempt at an endpoint.
struct call_attempt {
  std::string service;
  std::string route;
  std::string version; // of the endpoint
  endpoint_id endpoint;
};

// The outcome of an attempt, as far as it is evidence about the version.
struct call_outcome {
  bool is_counted = false; // the call ran at an endpoint that was neither draining nor starting
  bool failed = false;
  // Time until the first event or the answer, relative to the work of the call.
  std::optional<double> first_event_seconds;
  std::optional<double> event_gap_seconds; // mean time between two events
};

struct traffic_splitter_options {
  usage_source source;
  // Fraction of each route's calls that go to a target on trial.
  double target_fraction = 0.08;
  // Calls of this daemon to the target beyond that fraction, for services with few calls.
  double extra_calls = 0;
  // The endpoints on trial change after this time. They are so few that each carries the
  // load of a baseline endpoint, which shows faults that occur under load, and they change so that
  // a faulty endpoint can be distinguished from a bad version.
  std::chrono::milliseconds trial_period{4'000};
};

// Not thread-safe.
class traffic_splitter {
 public:
  explicit traffic_splitter(traffic_splitter_options options) : options_(std::move(options)) {}

  // Starts tracking new open orders and drops those that have ended.
  void update_orders(const rollout_registry& registry);

  // Sets this daemon's share of the calls that the fleet may send beyond the fraction.
  void set_extra_calls(double calls) { options_.extra_calls = calls; }

  // Whether a rollout of the service is open.
  [[nodiscard]] bool is_open(std::string_view service) const { return open_.contains(service); }

  // Selects the endpoints for a new call. A call that is sent again (`is_repeat`) goes to the
  // baseline version during a trial.
  [[nodiscard]] version_selection select(const pending_call& call, bool is_repeat,
                                         wall_time now) const;

  // Record the start and the end of an attempt. Call each once per attempt.
  void on_sent(const call_attempt& call);
  void on_ended(const call_attempt& call, const call_outcome& outcome);

  // Rows of the open orders, for the report to the peers.
  [[nodiscard]] std::vector<rollout_row> rows(wall_time now) const;

  // Calls of an open order, in all and to the target; for operators.
  struct exposure {
    std::uint64_t calls = 0;
    std::uint64_t to_target = 0;

    friend bool operator==(const exposure&, const exposure&) = default;
  };
  [[nodiscard]] exposure exposure_of(std::string_view service) const;

 private:
  // Usual durations of a route's calls.
  struct route_pace {
    slow_call_detector first;
    slow_call_detector event;
  };

  struct order_state {
    rollout order;
    std::map<std::string, exposure, std::less<>> sent; // by route
    rollout_row row;
  };

  // Whether the target may get one more call of the route.
  [[nodiscard]] bool may_send_to_target(const order_state& it, std::string_view route) const;
  // Returns whether the call was slow. Calls of the baseline version set the usual duration.
  static bool record_pace(route_pace& pace, const call_outcome& outcome, bool is_baseline);

  traffic_splitter_options options_;
  std::map<std::string, order_state, std::less<>> open_; // by service
  // By service and route. Recorded even if no order is open, so that the usual durations are known
  // when an order starts.
  std::map<std::string, std::map<std::string, route_pace>> paces_;
  // Running attempts by service and version. Counted even if no order is open, because one may
  // start.
  std::map<std::string, std::map<std::string, std::uint64_t>, std::less<>> calls_in_flight_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_TRAFFIC_SPLITTER_H_
