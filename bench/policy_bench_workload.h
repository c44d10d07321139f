// The requests of a run, made beforehand from a seed: every policy gets the same ones.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_WORKLOAD_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy_bench_fleet.h"

namespace wisteriaflow::bench {

inline constexpr mono_time start{std::chrono::seconds(1000)};
inline constexpr double event_at = 150;    // s into the run: burst, zone loss, nightly work
inline constexpr double run_seconds = 300; // arrivals end
inline constexpr double drain_seconds = 120;
inline constexpr double warm_up_seconds = 60;
inline constexpr double second_wave_after = 30;
inline constexpr std::size_t bursting_workspace = 2;

enum class request_kind { interactive, batch, service };

struct request_spec {
  mono_time arrival;
  request_kind kind = request_kind::interactive;
  std::size_t workspace = 0;
  int daemon = 0;
  std::vector<std::uint64_t> blocks;
  int prompt_tokens = 0;
  int output_tokens = 0;
};

// In order of arrival. Conversations of a few turns: a prompt shared by the workspace's callers, a
// document of the conversation, and the turns so far. Batch work has index `workspaces.size()`.
[[nodiscard]] std::vector<request_spec> make_workload(const run_options& options);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_WORKLOAD_H_
