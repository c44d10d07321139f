// Sums up what became of the requests of a run.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_FIGURES_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_FIGURES_H_

#include <limits>
#include <span>

#include "policy_bench_fleet.h"
#include "policy_bench_workload.h"

namespace wisteriaflow::bench {

inline constexpr double never = std::numeric_limits<double>::infinity();

// When the first token came, in seconds since the first try.
struct outcome {
  const request_spec* request = nullptr;
  double first_token = never;
};

// Whether a request counts: it arrived after the warm-up, or after the event of the condition.
[[nodiscard]] bool is_measured(const condition& what, const request_spec& request);

// Latencies and shares within the target; the other figures stay 0.
[[nodiscard]] figures summarise(const run_options& options, std::span<const outcome> outcomes);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_FIGURES_H_
