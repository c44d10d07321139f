// Simulates one day of one pool of instances, with changing prices and demand, reclaimed instances,
// refused launches and launch calls whose answer is lost. The instances are chosen by the capacity
// planner or by a simple policy to compare it with.
//
//   const day_result result = run_day({.seed = 1}, policy::planned, planner_options{});

#ifndef WISTERIAFLOW_BENCH_CAPACITY_BENCH_SIMULATION_H_
#define WISTERIAFLOW_BENCH_CAPACITY_BENCH_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::capacity {

// Parameters of the simulated day.
struct day_options {
  std::uint64_t seed = 1;
  int zones = 4;
  int runners = 9;          // small instances needed at the peak, including the zone headroom
  double price_ratio = 0.3; // mean price of reclaimable instances relative to on-demand ones
  double max_reclaimable_share = 1;
  std::chrono::seconds step{5};
  std::chrono::seconds plan_period{15};
  std::chrono::seconds launch_time{60};
  double reclaims_per_hour = 1.0 / 12; // of each reclaimable instance, apart from the zone losses
  double lost_answers = 0.02;          // share of launch calls whose answer is lost
  bool second_wave = true; // another zone's reclaimable instances, 30 s after the zone's loss
};

// What decides which instances run.
enum class policy {
  planned,          // the planner
  on_demand_only,   // the planner with only on-demand offers
  reclaimable_only, // the planner with only reclaimable offers and no zone headroom
  static_mix,       // sized for the peak, half reclaimable, spread evenly over the zones
};

// Totals over the day. `served`, `demanded` and `short_minutes` leave out the first 10 minutes, in
// which the first instances start.
struct day_result {
  double cost = 0; // of all instances, in the unit of the prices
  double on_demand_hours = 0;
  double reclaimable_hours = 0;
  double served = 0; // tokens that fit into the capacity at the latency target
  double demanded = 0;
  // Lowest share of the demand served in the 30 minutes after the zone loss.
  double min_served_after_loss = 1;
  double short_minutes = 0; // time in which the capacity was below the demand
  int launches = 0;
  int refused_launches = 0;
  int releases = 0;
  int unanswered_launches = 0;
  double plan_microseconds = 0; // mean time of one plan
};

// Simulates a day and returns its totals. With the same `options`, prices and demand are the same
// for every policy.
[[nodiscard]] day_result run_day(const day_options& options, policy policy_kind,
                                 const planner_options& rules);

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_BENCH_CAPACITY_BENCH_SIMULATION_H_
