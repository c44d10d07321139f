// How many endpoints of a service to order in each availability zone, and of which kind.
//
// Reclaimable endpoints cost a part of the others, but all of a zone's may be taken away at once,
// zone after zone, and none may be had for a while after. So on-demand endpoints, in the cheapest
// zones, carry a part of the work, and reclaimable ones, spread evenly, the rest and the room that
// keeps answers within their latency objective, also without one of the zones. While too few of
// these serve, on-demand ones stand in for them.
//
//   scaling_planner planner({});
//   for (const auto& order : planner.plan(input, now)) { ... send; planner.on_answer(order, r,
//   now); }

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
  double busy = 0; // endpoints that the present work would keep busy all the time
};

struct scaling_planner_options {
  // Parts of its time that an endpoint is busy with prompts: with reclaimable ones, which cost
  // little; and at which on-demand ones stand in for missing reclaimable ones. Prompts of several
  // endpoint-seconds arrive together, hence the distance between the two and to 1.
  double generous_utilisation = 0.35;
  double comfortable_utilisation = 0.65;
  // Part of the work that on-demand endpoints do at the least, should all reclaimable ones be gone.
  // The rest of the room outlives any one zone without them, and others are there within the start
  // time.
  double on_demand_part = 0.5;
  // With one on-demand endpoint, its crash could leave none.
  unsigned fewest_on_demand = 2;
  unsigned fewest_reclaimable = 1; // in each zone
  // The demand counts with its highest value of this time: a little over the time in which
  // endpoints start, so that a lull gives nothing away that would be missed before it could be
  // replaced. Longer pays for endpoints that serve nobody.
  std::chrono::milliseconds demand_memory{6'000};
  // A zone that had none is asked again after this.
  std::chrono::milliseconds sold_out_pause{1'500};
  // Before any work is seen the present endpoints are taken to be busy for this part of their time:
  // who started the fleet knew about how much is to come.
  double guessed_utilisation = 0.3;
  // Until work is seen nothing is ordered before the number of endpoints has stood for this long:
  // they register one by one after a start, and a guess from the first few gives the others back.
  // A little over the longest gap between two reads of the store, which is 1.5 s where endpoints
  // give a notice of 2 s.
  std::chrono::milliseconds settle_time{2'000};
  // Growth by less than this part counts as standing.
  double settled_growth = 0.05;
  // For how long the guess counts beside the first work, which is measured with a delay.
  std::chrono::milliseconds guess_memory{6'000};
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
    mono_time dry_until; // none to be had there until then, as far as is known
  };

  struct peak {
    double value = 0;
    mono_time valid_until = mono_time::max(); // of a guess: until there is work
  };

  struct held_number {
    unsigned number = 0;
    mono_time until;
  };

  // What a plan works with.
  struct targets {
    unsigned on_demand = 0;   // of the service
    unsigned reclaimable = 0; // of each zone
  };

  // Whether the fleet is known well enough to order by.
  bool has_settled(const scaling_input& in, mono_time now);
  double recent_busy(const scaling_input& in, mono_time now);
  targets targets_of(const scaling_input& in, mono_time now);
  void order_reclaimable(const scaling_input& in, unsigned in_zone, mono_time now,
                         std::vector<endpoint_order>& to);
  // Reclaimable endpoints that can be counted on: none while none are to be had and those of one
  // zone are all that is left, since a last notice would take them sooner than others start.
  [[nodiscard]] unsigned lasting_reclaimable(const scaling_input& in, mono_time now) const;
  // How `total` on-demand endpoints are best divided among the zones.
  [[nodiscard]] std::map<availability_zone, unsigned>
  spread_on_demand(const scaling_input& in, unsigned total, mono_time now) const;
  // Orders that division, but gives back only what serves beyond `total`: the endpoints that are to
  // stand elsewhere have to start first. Moving to cheaper zones at once, in
  // a zone's loss, would give back much of what is left.
  void order_on_demand(const scaling_input& in, unsigned total, mono_time now,
                       std::vector<endpoint_order>& to);
  void add_order(const endpoint_order& order, const scaling_input& in, mono_time now,
                 std::vector<endpoint_order>& to);
  [[nodiscard]] bool is_sold_out(const order_subject& subject, mono_time now) const;

  scaling_planner_options options_;
  std::map<order_subject, sent_order> orders_;
  std::map<std::string, peak> peaks_;       // by service
  std::map<std::string, held_number> seen_; // most endpoints present before any work, by service
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_SCALING_PLANNER_H_
