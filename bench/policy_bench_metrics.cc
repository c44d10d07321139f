#include "policy_bench_metrics.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace wisteriaflow::bench {
namespace {

struct workspace_count {
  int offered = 0;
  int within_target = 0;
};

double percentile(std::vector<double>& values, double part)
{
  if (values.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(values.size() - 1);
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(part * last);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

double share(int part, int whole)
{
  return static_cast<double>(part) / std::max(1, whole);
}

} // namespace

bool is_measured(const condition& run_condition, const request_spec& request)
{
  const bool event = run_condition.zone_loss || run_condition.burst || run_condition.nightly_batch;
  return request.arrival >= start + from_seconds(event ? event_at_seconds : warm_up_seconds);
}

run_metrics summarise(const run_options& options, std::span<const outcome> outcomes)
{
  run_metrics f;
  std::vector<double> latencies;
  std::vector<double> calls;
  std::vector<workspace_count> workspaces(options.fleet_deployment.workspace_shares.size());
  int in_time = 0;
  for (const auto& it : outcomes) {
    const auto& request = *it.request;
    if (!is_measured(options.run_condition, request) || request.kind == request_kind::batch) {
      continue;
    }
    if (request.kind == request_kind::service) {
      calls.push_back(it.first_token * 1000);
      continue;
    }
    latencies.push_back(it.first_token);
    f.abandoned += it.first_token == never ? 1 : 0;
    in_time += it.first_token <= options.fleet_deployment.deadline_seconds ? 1 : 0;
    auto& count = workspaces[request.workspace];
    count.within_target += it.first_token <= options.fleet_deployment.target_seconds ? 1 : 0;
    ++count.offered;
  }
  f.offered = static_cast<int>(latencies.size());
  f.worst_workspace_within_target = 1;
  int within_all = 0;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    const auto& count = workspaces[i];
    within_all += count.within_target;
    const bool bursts = options.run_condition.burst && i == bursting_workspace;
    if (count.offered > 0 && !bursts) {
      f.worst_workspace_within_target =
          std::min(f.worst_workspace_within_target, share(count.within_target, count.offered));
    }
  }
  f.within_target = share(within_all, f.offered);
  f.within_deadline = share(in_time, f.offered);
  f.p50 = percentile(latencies, 0.50);
  f.p95 = percentile(latencies, 0.95);
  f.p99 = percentile(latencies, 0.99);
  f.service_p50 = percentile(calls, 0.5);
  return f;
}

} // namespace wisteriaflow::bench
