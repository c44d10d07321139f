// A small fleet on an event list: daemons that run the real routing and admission code over engine
// stand-ins, with lagging reports, late cache events, callers that come back after a refusal, and
// zones that are reclaimed. One run gives one line of figures.

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

// A deployment at its size of today.
struct deployment {
  std::string name;
  std::vector<engine_spec> models;
  std::vector<engine_spec> services;
  int daemons = 6;
  std::vector<double> workspaces; // part of the traffic of each
  double sessions_per_second = 1;
  double service_calls_per_second = 20;
  double target_seconds = 1.5; // to the first token
  double deadline_seconds = 10;
  double between_zones = 0.0005; // s one way
  double price_preference = 0.3;
};

// What happens during a run.
struct condition {
  std::string name;
  double load = 1;         // times the deployment's usual traffic
  double report_lag = 0.5; // s; reports are made once a second
  double event_loss = 0;   // part of the cache events
  double cache = 1;        // times the engines' usual cache
  int daemons = 0;         // in place of the deployment's, unless 0
  bool burst = false;      // one workspace sends ten times its traffic for a minute
  bool zone_loss = false;
  bool second_wave = false;
  bool nightly = false; // one more workspace sends batch reports, three for each conversation
};

// Parts of the policy that a run can switch off, and those under trial.
struct variant_options {
  std::string name;
  policy kind = policy::wisteriaflow;
  routing::routing_rules rules;
  bool cache_events = true;
  bool limits = true; // shares of the workspaces
  bool lend = true;
  bool deadline_refusal = true;
  bool batch_gives_way = true;
  bool hedge = false;
  double near_equal = 0.1;
  double price_preference = -1; // of the deployment if negative
};

// Figures of one run, over its measured window.
struct figures {
  int offered = 0;
  int turned_away = 0; // refusals, each return of a caller counted
  int given_up = 0;    // requests refused six times; they count as missing the target
  int hedged = 0;
  double within_target = 0;
  double within_deadline = 0;
  double worst_workspace = 0; // the same for the workspace that fares worst (not one that bursts)
  double p50 = 0, p95 = 0, p99 = 0; // s to the first token, from the first try
  double service_p50 = 0;           // ms, of plain service calls
  double recomputed = 0;            // prompt tokens computed again, in thousands
  double cost = 0;                  // of engine time for a million tokens
  double busy = 0;                  // part of the time that engines prefill, in the window
  double batch_tokens = 0;          // answered for batch work, in thousands
};

struct run_options {
  deployment where;
  condition what;
  variant_options how;
  std::uint64_t seed = 1;
};

[[nodiscard]] figures run_fleet(const run_options& options);

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_FLEET_H_
