// Plans how many endpoints of a service to order in each availability zone, reclaimable and
// on-demand.
//
// Reclaimable endpoints cost a fraction of on-demand ones, but all of a zone's may be reclaimed at
// once, one zone after another, and none may be available for a while afterwards. On-demand
// endpoints in the cheapest zones therefore carry a part of the work. Reclaimable endpoints, spread
// evenly over the zones, carry the rest and provide the headroom that keeps answers within their
// latency objective even without one of the zones. While too few reclaimable endpoints serve,
// on-demand ones replace them.
//
//   scaling_planner planner({});
//   for (const auto& order : planner.plan(input, now)) {
//     ... send; planner.on_result(order, result, now);
//   }

#ifndef WISTERIAFLOW_GATEWAY_SCALING_PLANNER_H_
#define WISTERIAFLOW_GATEWAY_SCALING_PLANNER_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/configuration.h"

namespace wisteriaflow::gateway {

// The endpoints of one service and kind in one zone. An order sets their number.
struct endpoint_group {
  std::string service;
  availability_zone zone;
  bool reclaimable = false;

  friend auto operator<=>(const endpoint_group&,
                          const endpoint_group&) = default; // NOLINT(modernize-use-nullptr)
};

// An order that sets the number of endpoints in a group.
struct endpoint_order {
  endpoint_group group;
  unsigned wanted = 0;

  friend bool operator==(const endpoint_order&, const endpoint_order&) = default;
};

enum class order_result {
  accepted,
  capacity_exhausted, // none available there at the moment
  unanswered,         // no answer: the order may have been accepted
};

// The current state of a service.
struct scaling_input {
  std::string service;
  scaling_limits limits;
  std::map<endpoint_group, unsigned> serving; // endpoints that accept new work
  double busy_endpoints = 0; // endpoints that the current work would keep busy all the time
};

struct scaling_planner_options {
  // Fractions of its time that an endpoint is busy with prompts: the target with reclaimable
  // endpoints, which are cheap, and the level from which on-demand endpoints replace missing
  // reclaimable ones. Prompts of several endpoint-seconds arrive together, which is the reason for
  // the distance between the two values and to 1.
  double target_utilisation = 0.35;
  double fallback_utilisation = 0.65;
  // Fraction of the work that on-demand endpoints can do in case all reclaimable ones are
  // reclaimed. The rest of the headroom survives the loss of any one zone without them, and
  // replacements serve within the startup time.
  double on_demand_fraction = 0.5;
  // With a single on-demand endpoint, its crash could leave none.
  unsigned min_on_demand = 2;
  unsigned min_reclaimable_per_zone = 1;
  // The demand counts with its highest value in this time. The time is slightly longer than
  // endpoints take to start, so that a short lull does not release endpoints that would be needed
  // again before they could be replaced. A longer time pays for idle endpoints.
  std::chrono::milliseconds demand_window{6'000};
  // A zone that had no endpoints available is asked again after this time.
  std::chrono::milliseconds capacity_exhausted_backoff{1'500};
  // Until there is work, the existing endpoints are assumed to be busy for this fraction of their
  // time: whoever started the fleet knew roughly how much work to expect.
  double assumed_utilisation = 0.3;
  // Until there is work, nothing is ordered before the number of endpoints was stable for this
  // time. After a start, endpoints register one by one, and an estimate from the first few would
  // release the others. The time is slightly longer than the longest gap between two reads of the
  // store, which is 1.5 s where endpoints give a notice of 2 s.
  std::chrono::milliseconds settle_time{2'000};
  // Growth by less than this fraction counts as stable.
  double max_settled_growth = 0.05;
  // How long the assumption counts after the first work appears, because work is measured with a
  // delay.
  std::chrono::milliseconds assumption_window{6'000};
  // An order whose endpoints have not arrived this long after their startup time is sent again.
  std::chrono::milliseconds repeat_delay{3'000};
};

// Not thread-safe. Used by the daemon that holds the fleet lease.
class scaling_planner {
 public:
  explicit scaling_planner(scaling_planner_options options) : options_(options) {}

  // Forgets the orders sent so far. Call when this daemon acquires the lease: another daemon may
  // have sent orders since.
  void forget_orders() { orders_.clear(); }

  // Returns the orders to send now.
  [[nodiscard]] std::vector<endpoint_order> plan(const scaling_input& in, mono_time now);

  void on_result(const endpoint_order& order, order_result result, mono_time now);

 private:
  struct sent_order {
    unsigned wanted = 0;
    mono_time repeat_at;
    mono_time blocked_until;
    mono_time unavailable_until; // none are available in the group until then, as far as is known
  };

  struct peak {
    double value = 0;
    mono_time valid_until = mono_time::max(); // of the assumption: until there is work
  };

  struct settling_count {
    unsigned count = 0;
    mono_time settles_at;
  };

  // Numbers of endpoints to order.
  struct targets {
    unsigned on_demand = 0;   // of the service
    unsigned reclaimable = 0; // of each zone
  };

  // Whether the number of endpoints is stable, or there is work, so that orders can be planned.
  bool has_settled(const scaling_input& in, mono_time now);
  double recent_peak(const scaling_input& in, mono_time now);
  targets targets_of(const scaling_input& in, mono_time now);
  void order_reclaimable(const scaling_input& in, unsigned in_zone, mono_time now,
                         std::vector<endpoint_order>& to);
  // Reclaimable endpoints that the plan may rely on. There are none while none are available and
  // only those of one zone are left, because a last notice would take them before replacements
  // start.
  [[nodiscard]] unsigned dependable_reclaimable(const scaling_input& in, mono_time now) const;
  // Divides `total` on-demand endpoints among the zones.
  [[nodiscard]] std::map<availability_zone, unsigned>
  spread_on_demand(const scaling_input& in, unsigned total, mono_time now) const;
  // Orders that division, but releases only what serves beyond `total`: replacements in other zones
  // have to start first. Moving to cheaper zones at once while a zone is lost would release much of
  // the remaining capacity.
  void order_on_demand(const scaling_input& in, unsigned total, mono_time now,
                       std::vector<endpoint_order>& to);
  void add_order(const endpoint_order& order, const scaling_input& in, mono_time now,
                 std::vector<endpoint_order>& to);
  [[nodiscard]] bool is_capacity_exhausted(const endpoint_group& group, mono_time now) const;

  scaling_planner_options options_;
  std::map<endpoint_group, sent_order> orders_;
  std::map<std::string, peak> peaks_; // by service
  std::map<std::string, settling_count>
      settling_counts_; // largest number of endpoints before any work, by service
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_SCALING_PLANNER_H_
