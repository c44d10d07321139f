// Which version of a service a call goes to while a roll-out is under way, and how it fares there.
//
// On trial the target gets a fixed part of this daemon's own calls of each route and no more. The
// parts of all daemons add up to no more than the same part of the fleet's calls, whoever joins,
// dies or is cut off, so nobody has to be asked for a single call.
//
//   version_traffic traffic({.source = self, .target_part = 0.08});
//   traffic.follow(book, now);                                   // when the book has news
//   const auto lane = traffic.lane_of({.service = s, .route = r}, now);
//   traffic.on_sent({.service = s, .route = r, .version = chosen.version});
//   traffic.on_ended({... the same ..., .failed = true});

#ifndef WISTERIAFLOW_GATEWAY_VERSION_TRAFFIC_H_
#define WISTERIAFLOW_GATEWAY_VERSION_TRAFFIC_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/pace.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/version_counts.h"

namespace wisteriaflow::gateway {

// The endpoints of a service that a call may go to.
struct version_lane {
  enum class side {
    any,     // no roll-out is under way
    present, // all but those of the target
    trial,   // a few of the target
    target,  // all of the target
  };

  side at = side::any;
  std::string_view target; // version; empty for any
  // On trial: decides which few, the same in all daemons, and their part of the present ones'
  // number.
  std::uint64_t drawn_by = 0;
  double target_part = 0;

  friend bool operator==(const version_lane&, const version_lane&) = default;
};

// A call before its endpoint is chosen.
struct call_to_place {
  std::string_view service;
  std::string_view route;
  std::uint64_t key = 0; // equal for calls that should move together: those that share a prefix
};

// An attempt at an endpoint.
struct placed_call {
  std::string service;
  std::string route;
  std::string version; // of the endpoint
  endpoint_id endpoint;
};

// How one ended, as far as it tells anything of the version.
struct call_outcome {
  bool counts = false; // it ran, at an endpoint that was neither leaving nor starting
  bool failed = false;
  std::optional<double> first_seconds; // to the first event or the answer, for what was to be done
  std::optional<double> event_seconds; // from one event to the next, on the mean
};

struct version_traffic_options {
  usage_source source;
  // Part of each route's calls that go to a target on trial.
  double target_part = 0.08;
  // Calls beyond that part, of this daemon, for services with few calls.
  double beyond_part = 0;
  // Which endpoints are on trial changes after this. They are as few as carry the load of the
  // present ones, so that badness under load shows, and change, so that an ill one is told from a
  // bad version.
  std::chrono::milliseconds trial_period{4'000};
};

// Not thread-safe.
class version_traffic {
 public:
  explicit version_traffic(version_traffic_options options) : options_(std::move(options)) {}

  // Takes up the orders that are open and drops those that have ended.
  void follow(const rollout_book& book);

  // The fleet's daemons share `calls` beyond the part.
  void set_beyond_part(double calls) { options_.beyond_part = calls; }

  // Whether a roll-out of the service is under way.
  [[nodiscard]] bool is_open(std::string_view service) const { return open_.contains(service); }

  // Where a new call goes. A call that is sent again after an attempt goes to the present version
  // as long as there is a choice.
  [[nodiscard]] version_lane lane_of(const call_to_place& call, bool is_repeat,
                                     wall_time now) const;

  void on_sent(const placed_call& call);
  void on_ended(const placed_call& call, const call_outcome& outcome);

  // What this daemon tells of the orders that are open.
  [[nodiscard]] std::vector<rollout_row> rows(wall_time now) const;

  // Calls sent to the target, and in all, of an open order; for operators.
  struct exposure {
    std::uint64_t calls = 0;
    std::uint64_t to_target = 0;

    friend bool operator==(const exposure&, const exposure&) = default;
  };
  [[nodiscard]] exposure exposure_of(std::string_view service) const;

 private:
  // What calls of a route take.
  struct route_pace {
    pace_limit first;
    pace_limit event;
  };

  struct order_state {
    rollout order;
    std::map<std::string, exposure, std::less<>> sent; // by route
    rollout_row row;
  };

  // Whether the route's target may get one more call.
  [[nodiscard]] bool has_room(const order_state& it, std::string_view route) const;
  // Whether the call was slow; one of the present version tells what is.
  static bool compare(route_pace& pace, const call_outcome& outcome, bool is_present);

  version_traffic_options options_;
  std::map<std::string, order_state, std::less<>> open_; // by service
  // By service and route, kept whether an order is open or not, so that it is known when one comes.
  std::map<std::string, std::map<std::string, route_pace>> paces_;
  // Attempts under way by service and version, whether an order is open or not: one may come.
  std::map<std::string, std::map<std::string, std::uint64_t>, std::less<>> under_way_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_TRAFFIC_H_
