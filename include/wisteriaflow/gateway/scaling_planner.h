// How many endpoints of a service to order in each availability zone, and of which kind.
//
// Reclaimable endpoints cost a part of the others, but all of a zone's may be taken away at once,
// and none may be had for a while after. The planner spreads them evenly, so that what is left after
// the loss of the fullest zone still carries the demand, and keeps on-demand endpoints only until
// enough reclaimable ones serve, or where reclaimable ones are not to be had.
//
//   scaling_planner planner({});
//   for (const auto& order : planner.plan(input, now)) { ... send; planner.on_answer(order, r, now); }

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

// One kind of endpoints of one service in one zone: what an order sets the number of.
struct order_subject {
  std::string service;
  availability_zone zone;
  bool reclaimable = false;

  friend auto operator<=>(const order_subject&,
                          const order_subject&) = default; // NOLINT(modernize-use-nullptr)
};

// The number of endpoints wanted.
struct endpoint_order {
  order_subject subject;
  unsigned wanted = 0;

  friend bool operator==(const endpoint_order&, const endpoint_order&) = default;
};

enum class order_answer {
  taken,
  sold_out, // none to be had there at the moment
  lost,     // no answer: it may have been taken
};

// A service as it stands.
struct scaling_input {
  std::string service;
  scaling_limits limits;
  std::map<order_subject, unsigned> serving; // endpoints that take new work
  double demand = 0;                         // endpoints that the present work would fill
};

struct scaling_planner_options {
  // Requests beyond the present ones that the fleet is kept ready for, as a factor.
  double headroom = 1.5;
  // Fewest reclaimable endpoints in each zone: with one, a single crash empties the zone.
  unsigned fewest_reclaimable = 2;
  // The demand counts with its highest value of this time, so that a lull does not give away what
  // the next wave needs.
  std::chrono::milliseconds demand_memory{12'000};
  // A zone that had none is asked again after this.
  std::chrono::milliseconds sold_out_pause{1'500};
  // An order whose endpoints have not come this long after they should is sent again.
  std::chrono::milliseconds repeat_after{3'000};
};

// Not thread-safe. Used by the daemon that holds the duty's lease.
class scaling_planner {
 public:
  explicit scaling_planner(scaling_planner_options options) : options_(options) {}

  // Forgets what was ordered: another daemon may have ordered since.
  void take_over() { orders_.clear(); }

  // Orders that are due now.
  [[nodiscard]] std::vector<endpoint_order> plan(const scaling_input& in, mono_time now);

  void on_answer(const endpoint_order& order, order_answer answer, mono_time now);

 private:
  struct sent_order {
    unsigned wanted = 0;
    mono_time repeat_at;
    mono_time not_before;
  };

  struct demand_peak {
    double value = 0;
    mono_time valid_until;
  };

  double recent_demand(const scaling_input& in, mono_time now);
  // Reclaimable endpoints in each zone that carry `needed` without any one zone.
  [[nodiscard]] unsigned reclaimable_in_zone(const scaling_input& in, double needed) const;
  void add_order(std::vector<endpoint_order>& to, const endpoint_order& order, unsigned serving,
                 const scaling_input& in, mono_time now);

  scaling_planner_options options_;
  std::map<order_subject, sent_order> orders_;
  std::map<std::string, demand_peak> peaks_; // by service
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_SCALING_PLANNER_H_
