// Chooses an endpoint for one attempt of a request.
//
// Predicted time to first token = queue + uncached prompt / prefill rate + network. The cost to
// other requests on the endpoint, which also wait for this request's prefill, is added to it.
// Among the endpoints that meet the latency target, `price_preference` weighs latency against
// price. Candidates of nearly equal score are chosen from at random, so that many daemons, which
// see the same delayed load reports, do not all pick the same endpoint.
//
//   const routing_view view{.endpoints = table, .prefixes = index, .options = options};
//   const auto result = choose_endpoint(view, request, table.slots(), now, rng);
//   if (const auto* chosen = std::get_if<chosen_endpoint>(&result)) { ... }

#ifndef WISTERIAFLOW_ROUTING_CHOOSE_ENDPOINT_H_
#define WISTERIAFLOW_ROUTING_CHOOSE_ENDPOINT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/load/rank.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_cache_index.h"

namespace wisteriaflow::routing {

// The rules of the routing policy. Benchmarks switch them off one at a time to measure their
// effect.
struct routing_rules {
  bool local_corrections = true; // correct load reports by this daemon's requests since
  bool prefixes = true;          // subtract prompt tokens expected in the cache
  bool network = true;           // add the network latency
  bool price = true;             // weigh price against latency
  bool report_decay = true;      // weigh a load report less as it ages
  bool uncertainty = true;       // expect some wait even before the reported batch is full
  bool prefill_blocking = true;  // add the time for which the prefill blocks other requests
  bool batch_load = true;        // penalise a fuller batch, which decodes more slowly
  bool random_tie_break = true;  // choose at random among nearly equal scores

  friend bool operator==(const routing_rules&, const routing_rules&) = default;
};

// Settings of the policy.
struct routing_options {
  wisteriaflow::availability_zone availability_zone; // of this daemon
  // 0: only latency counts; 1: the cheapest endpoint within the target wins.
  double price_preference = 0.3;
  // A prediction counts as meeting the latency target up to this fraction of the target.
  double target_fraction = 0.7;
  // Scores up to this fraction above the best score count as nearly equal.
  double near_equal_margin = 0.1;
  std::chrono::microseconds same_zone_latency{200};
  std::chrono::microseconds cross_zone_latency{1'500};
  double queue_uncertainty = 2;            // error of a reported count, in requests
  double report_decay_seconds = 2;         // time constant of the decay of a load report
  double prefill_blocking_weight = 6;      // requests that one prefill blocks on a busy endpoint
  double batch_load_penalty_seconds = 0.3; // added to the latency for a full batch
  int tokens_per_block = 64;               // prompt tokens per prefix block
  routing_rules rules;
};

// What the caller of the choice knows about one candidate for this request.
struct candidate_hint {
  // Added to the score as seconds of delay; the predicted first token remains as it is.
  double penalty_seconds = 0;
  // The request does not fit into its memory: chosen only if no other one meets the deadline.
  bool overflows_memory = false;

  friend bool operator==(const candidate_hint&, const candidate_hint&) = default;
};

// The properties of a request that the choice depends on.
struct request_view {
  std::span<const std::uint64_t> blocks; // from `prefix_block_hashes`; empty for a plain service
  int prompt_tokens = 0;                 // 0 for a plain service
  int expected_output_tokens = 0;
  mono_time target;                        // the first token should arrive by this time
  mono_time deadline;                      // and must arrive by this time
  std::span<const endpoint_slot> excluded; // tried by earlier attempts
  // Endpoints to which the whole fleet sends prompts with this prefix. They are assumed to have the
  // first `affinity_blocks` blocks cached, whether or not this daemon has sent them there.
  std::span<const endpoint_slot> affinity_endpoints = {};
  std::uint32_t affinity_blocks = 0;
  // If set, the endpoints admit waiting requests by rank: those of less urgent ranks don't delay
  // this request, and the cost to others follows from the requests that it delays.
  std::optional<load::rank_class> rank = std::nullopt;
  // For each candidate, in the same order; empty: nothing is known.
  std::span<const candidate_hint> hints = {};
};

// The parts of a prediction, in seconds from now.
struct prediction {
  double queue = 0;
  double prefill = 0;
  double network = 0;
  int cached_tokens = 0; // prompt tokens probably in the endpoint's cache

  [[nodiscard]] double first_token() const { return queue + prefill + network; }

  friend bool operator==(const prediction&, const prediction&) = default;
};

// The endpoint to send the attempt to.
struct chosen_endpoint {
  endpoint_slot slot = 0;
  mono_time first_token_at; // predicted
  double cost = 0;          // of the request, in the currency of `price_per_hour`
  prediction parts;

  friend bool operator==(const chosen_endpoint&, const chosen_endpoint&) = default;
};

// Why no endpoint was chosen.
enum class no_endpoint_reason {
  no_candidate,         // there is none, or all are leaving, unreachable or excluded
  deadline_unreachable, // no candidate can return the first token by the deadline
  none_accepting,       // every candidate has reported that it currently accepts no requests
};

[[nodiscard]] std::string_view to_string(no_endpoint_reason reason);

// No endpoint was chosen.
struct no_endpoint {
  no_endpoint_reason reason = no_endpoint_reason::no_candidate;
  // When the queue of the fastest candidate will be short enough for a request like this one to
  // meet its deadline; used for Retry-After. Absent if there is no candidate.
  std::optional<mono_time> retry_at;
  // True if the fastest candidate would meet the deadline without its queue. If false, the size of
  // the request alone makes it late, a prediction that depends on rates that may be wrong.
  bool feasible_when_idle = false;

  friend bool operator==(const no_endpoint&, const no_endpoint&) = default;
};

using decision = std::variant<chosen_endpoint, no_endpoint>;

// The state that a decision reads. All of it must outlive the call.
struct routing_view {
  const endpoint_table& endpoints;
  const prefix_cache_index& prefixes;
  const routing_options& options;
};

// Chooses among `candidates`, the slots that match the selectors. Throws `unknown_endpoint` if a
// slot is not in the table.
[[nodiscard]] decision choose_endpoint(const routing_view& view, const request_view& request,
                                       std::span<const endpoint_slot> candidates, mono_time now,
                                       std::mt19937_64& rng);

// The result of the choice for one candidate.
enum class candidate_outcome {
  chosen,
  near_equal,      // nearly the same score as the chosen one, not picked at random
  worse,           // meets the target, but has a higher score
  misses_target,   // misses the latency target, which other candidates meet
  misses_deadline, // predicted first token is after the deadline
  leaving,
  memory_full, // the request does not fit into its memory
  unreachable, // in the backoff after a failed connection
  excluded,    // tried by an earlier attempt
};

[[nodiscard]] std::string_view to_string(candidate_outcome outcome);

// The prediction, score and outcome of one candidate.
struct candidate_explanation {
  endpoint_slot slot = 0;
  candidate_outcome result = candidate_outcome::worse;
  prediction parts;
  double cost = 0;
  double score = 0; // lower is better; comparable only within one decision

  friend bool operator==(const candidate_explanation&, const candidate_explanation&) = default;
};

// Makes the same choice and returns one entry per candidate. With `rng` in the same state, the
// chosen endpoint is the one that `choose_endpoint` returns. For diagnostics by operators, not for
// the request path.
[[nodiscard]] std::vector<candidate_explanation>
explain_choice(const routing_view& view, const request_view& request,
               std::span<const endpoint_slot> candidates, mono_time now, std::mt19937_64& rng);

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_CHOOSE_ENDPOINT_H_
