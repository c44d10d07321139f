// Offers, pools and instances for the capacity tests.

#ifndef WISTERIAFLOW_TEST_CAPACITY_FIXTURES_H_
#define WISTERIAFLOW_TEST_CAPACITY_FIXTURES_H_

#include <chrono>
#include <string>
#include <vector>

#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::capacity {

inline constexpr mono_time start_mono{std::chrono::hours(1)};
inline constexpr wall_time start_wall{std::chrono::hours(500'000)};

inline clock_reading at(std::chrono::milliseconds since_start)
{
  return {.mono = start_mono + since_start, .wall = start_wall + since_start};
}

inline offer_key key_of(const std::string& zone, bool reclaimable,
                        const std::string& instance_class = "large")
{
  return {.zone = availability_zone(zone),
          .instance_class = instance_class,
          .reclaimable = reclaimable};
}

// Three zones; reclaimable instances cost 0.3 and on-demand ones 1 an hour.
inline std::vector<offer> usual_offers()
{
  std::vector<offer> out;
  for (const auto* zone : {"a", "b", "c"}) {
    out.push_back({.key = key_of(zone, true), .price_per_hour = 0.3});
    out.push_back({.key = key_of(zone, false), .price_per_hour = 1});
  }
  return out;
}

// A pool whose instances serve 100 decode tokens/s each at the latency target.
inline pool_input pool_with_demand(double decode_tokens)
{
  pool_input in;
  in.pool.metadata.name = "language";
  in.pool.model = model_id("m");
  in.pool.max_instances = 50;
  in.pool.headroom = 0;
  in.demand = {.requests = 1, .decode_tokens = decode_tokens};
  in.rates["large"] = {.decode_tokens_per_second = 125};
  in.model_loads = {{.model = model_id("m"), .bytes = 1'000'000'000}};
  return in;
}

// Three zones and a pool with a demand of 200 tokens/s, which takes two instances. Since it has to
// survive the loss of any one zone, it needs three, one in each zone.
inline plan_input usual_input()
{
  return {.offers = usual_offers(), .pools = {pool_with_demand(200)}};
}

template <typename wanted>
std::vector<wanted> all_of_type(const std::vector<planner_action>& actions)
{
  std::vector<wanted> out;
  for (const auto& a : actions) {
    if (const auto* one = std::get_if<wanted>(&a)) {
      out.push_back(*one);
    }
  }
  return out;
}

// The instance that a launch starts.
inline pool_instance instance_of(const launch& l, const std::string& id)
{
  return {.id = instance_id(id),
          .key = l.key,
          .price_per_hour = l.key.reclaimable ? 0.3 : 1,
          .launched_with = l.token};
}

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_TEST_CAPACITY_FIXTURES_H_
