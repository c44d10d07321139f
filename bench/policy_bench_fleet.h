// Simulates a small fleet: daemons that run the real routing and admission code on simulated
// engines, with delayed load reports, delayed cache events, callers that retry after a refusal, and
// zones that are reclaimed.
//
//   const run_metrics m = run_fleet({.fleet_deployment = d, .run_condition = {.name = "steady"}});

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_FLEET_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_FLEET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "policy_bench_engine.h"
#include "wisteriaflow/admission/admission_control.h"
#include "wisteriaflow/routing/choose_endpoint.h"

namespace wisteriaflow::bench {

enum class policy { wisteriaflow, random, round_robin, least_loaded, prefix_affinity };

// A fleet of engines and daemons and its usual traffic.
struct deployment {
  std::string name;
  std::vector<engine_spec> models;
  std::vector<engine_spec> services;
  int daemons = 6;
  std::vector<double> workspace_shares; // each workspace's share of the traffic
  double sessions_per_second = 1;
  double service_calls_per_second = 20;
  double target_seconds = 1.5; // until the first token
  double deadline_seconds = 10;
  double between_zones_seconds = 0.0005; // s one way
  double price_preference = 0.3;
};

// Load, faults and events of a run. The events happen at `event_at_seconds`.
struct condition {
  std::string name;
  double load_factor = 1;  // relative to the deployment's usual traffic
  double report_lag = 0.5; // s; engines report once a second
  double event_loss = 0;   // share of the cache events that are lost
  double cache_factor = 1; // relative to the engines' usual cache size
  int daemons = 0;         // overrides the deployment's number unless 0
  bool burst = false;      // one workspace sends ten times its usual traffic for a minute
  bool zone_loss = false;
  bool second_wave = false;
  bool nightly_batch = false; // one more workspace sends three batch requests for each conversation
};

// The policy of a run, and the parts of the project's own policy that the run enables.
struct variant_options {
  std::string name;
  policy kind = policy::wisteriaflow;
  routing::routing_rules rules;
  bool cache_events = true;
  bool limits = true;           // enforces the workspaces' rate limits
  bool lend = true;             // unused shares are lent to other workspaces
  bool deadline_refusal = true; // refuses requests that would miss their deadline
  bool batch_shed = true;       // refuses batch requests first under load
  bool hedge = false;           // sends a second attempt after the 95th percentile of latencies
  double near_equal = 0.1;      // see routing_options::near_equal
  double price_preference = -1; // negative: the deployment's
};

// Results of one run. `hedged`, `batch_kilotokens`, `prefill_utilisation` and the cost cover the
// whole run, the others its measured window (see is_measured). Unless noted, they cover interactive
// requests.
struct run_metrics {
  int offered = 0;
  int refusals = 0; // every refused try counts
  // Requests refused six times, or without a first token; they count as missing the target.
  int abandoned = 0;
  int hedged = 0;
  double within_target = 0;
  double within_deadline = 0;
  // Lowest within_target of a workspace, except a bursting one.
  double worst_workspace_within_target = 0;
  double p50 = 0, p95 = 0, p99 = 0;   // s from the first try to the first token
  double service_p50 = 0;             // ms, of plain service calls
  double recomputed_kilotokens = 0;   // prompt tokens computed more than once, in thousands
  double cost_per_million_tokens = 0; // price of engine time per million tokens
  // Prefill time of an engine relative to run_seconds, mean over engines.
  double prefill_utilisation = 0;
  double batch_kilotokens = 0; // tokens of answered batch requests, in thousands
};

struct run_options {
  deployment fleet_deployment;
  condition run_condition;
  variant_options variant;
  std::uint64_t seed = 1;
};

// Runs one simulation. The same options give the same result.
[[nodiscard]] run_metrics run_fleet(const run_options& options);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_FLEET_H_
