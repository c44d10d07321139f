// Time and memory of the routing state at the planned size: 390 daemons, 2,500 runners, 11 zones.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_SCALE_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_SCALE_H_

#include <boost/json.hpp>

namespace wisteriaflow::bench {

// Prints one line for each number of candidates and returns the figures.
[[nodiscard]] boost::json::array measure_scale();

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_SCALE_H_
