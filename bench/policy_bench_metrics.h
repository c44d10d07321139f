// Computes latency percentiles and success rates from the outcomes of a run's requests.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_METRICS_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_METRICS_H_

#include <limits>
#include <span>

#include "policy_bench_fleet.h"
#include "policy_bench_workload.h"

namespace wisteriaflow::bench {

inline constexpr double never = std::numeric_limits<double>::infinity();

// Latency of a request's first token in seconds since its arrival, including refused tries and the
// waits between them; `never` if there was none.
struct outcome {
  const request_spec* request = nullptr;
  double first_token = never;
};

// Returns whether a request is measured: it arrived after the warm-up or, if the condition has an
// event such as a zone loss, after that event.
[[nodiscard]] bool is_measured(const condition& run_condition, const request_spec& request);

// Fills the request counts, latency percentiles and shares of requests in time. The other fields of
// the result stay 0.
[[nodiscard]] run_metrics summarise(const run_options& options, std::span<const outcome> outcomes);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_METRICS_H_
