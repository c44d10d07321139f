// A simulated day of one pool: moving prices and demand, reclaims, refused starts and lost answers,
// with the planner or a plain policy in charge.

#ifndef WISTERIAFLOW_BENCH_CAPACITY_BENCH_WORLD_H_
#define WISTERIAFLOW_BENCH_CAPACITY_BENCH_WORLD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::capacity {

// What is simulated. Times are of the day.
struct day_options {
  std::uint64_t seed = 1;
  int zones = 4;
  int runners = 9;          // small instances that the peak needs, zone headroom included
  double price_ratio = 0.3; // mean price of reclaimable against on-demand
  double max_reclaimable_share = 1;
  std::chrono::seconds step{5};
  std::chrono::seconds plan_period{15};
  std::chrono::seconds launch_time{60};
  double reclaims_per_hour = 1.0 / 12; // of one reclaimable instance, besides the waves
  double lost_answers = 0.02;          // of launches
  bool second_wave = true; // 30 s after the zone's loss, of another zone's reclaimable instances
};

// Who is in charge.
enum class policy {
  planned,          // the planner
  on_demand_only,   // the planner, with on-demand offers alone
  reclaimable_only, // the planner, with reclaimable offers alone and no zone headroom
  static_mix,       // sized for the peak, half reclaimable, spread evenly over the zones
};

struct day_result {
  double cost = 0; // of all instances, in the prices' unit
  double on_demand_hours = 0;
  double reclaimable_hours = 0;
  double served = 0; // tokens within the capacity at the latency target
  double demanded = 0;
  double worst_after_loss = 1; // least part of the demand within capacity, in the 30 minutes after
  double short_minutes = 0;    // time with less than the demand within capacity
  int launches = 0;
  int refused = 0;
  int releases = 0;
  int lost = 0;
  double plan_microseconds = 0; // mean
};

// Runs a day. The same options give the same day to every policy.
[[nodiscard]] day_result run_day(const day_options& options, policy who,
                                 const planner_options& rules);

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_BENCH_CAPACITY_BENCH_WORLD_H_
