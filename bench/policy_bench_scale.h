// Measures the time and memory of the routing state at the size that the system is designed for:
// 390 daemons, 2,500 endpoints, 11 zones.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_SCALE_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_SCALE_H_

#include <boost/json.hpp>

namespace wisteriaflow::bench {

// Measures endpoint choices for several numbers of candidates, the hashing of a prompt, and one
// refresh of the workspaces' shares. Prints a line for each and returns the same as JSON.
[[nodiscard]] boost::json::array measure_scale();

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_SCALE_H_
