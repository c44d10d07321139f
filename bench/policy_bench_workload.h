// Generates the requests of a run from its seed before the run starts, so that every policy gets
// the same requests.

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_WORKLOAD_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy_bench_fleet.h"

namespace wisteriaflow::bench {

inline constexpr mono_time start{std::chrono::seconds(1000)};
// Start of the burst, the zone loss or the nightly batch requests.
inline constexpr double event_at_seconds = 150;
inline constexpr double run_seconds = 300; // requests arrive until then
inline constexpr double drain_seconds = 120;
inline constexpr double warm_up_seconds = 60;
inline constexpr double second_wave_delay_seconds = 30;
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

// Returns the requests in order of arrival. Interactive requests are the turns of conversations;
// their prompt is a template shared by the workspace's callers, a document of the conversation and
// the turns so far. The workspace of batch requests has the index `workspace_shares.size()`.
[[nodiscard]] std::vector<request_spec> make_workload(const run_options& options);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_WORKLOAD_H_
