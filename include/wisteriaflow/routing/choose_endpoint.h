// The choice of an endpoint for one attempt of a request.
//
// Predicted time to first token = queue + uncached prompt / prefill rate + network. To it come the
// costs to others on the endpoint, which also wait for this request's prefill.
// Among the endpoints that meet the latency target, latency and price are weighed by
// `price_preference`; near-equals are drawn at random so that many daemons, which see the same
// lagging reports, do not all pick the same one.
//
//   const routing_view view{.endpoints = table, .prefixes = belief, .options = options};
//   const auto made = choose_endpoint(view, request, table.slots(), now, rng);
//   if (const auto* chosen = std::get_if<chosen_endpoint>(&made)) { … }

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
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_belief.h"

namespace wisteriaflow::routing {

// Each rule of the policy, so that a bench can switch one off and show what it brings.
struct routing_rules {
  bool own_work = true;    // correct reports by own work since
  bool prefixes = true;    // count believed cache hits
  bool network = true;     // count the way to another availability zone
  bool price = true;       // weigh price against latency
  bool fading = true;      // a report counts less as it ages
  bool uncertainty = true; // expect some wait before the reported batch is full
  bool others_wait = true; // count the time for which the prefill holds up others
  bool crowding = true;    // count the slowing of a fuller batch
  bool spread = true;      // draw among near-equals

  friend bool operator==(const routing_rules&, const routing_rules&) = default;
};

// Settings of the policy.
struct routing_options {
  wisteriaflow::availability_zone availability_zone; // of this daemon
  // 0: only latency counts; 1: the cheapest endpoint within the target wins.
  double price_preference = 0.3;
  // Share of the latency target that a prediction may use up and still count as meeting it.
  double target_margin = 0.7;
  // Scores up to this part above the best one are near-equals.
  double near_equal = 0.1;
  std::chrono::microseconds network_within_zone{200};
  std::chrono::microseconds network_between_zones{1'500};
  double uncertainty = 2;             // requests by which a reported count may be off
  double report_fades_in_seconds = 2; // time constant
  double prefill_weight = 6;          // requests that wait for one prefill, on a busy endpoint
  double crowding_seconds = 0.3;      // added to the score of a full batch
  int tokens_per_block = 64;
  routing_rules rules;
};

// What the choice needs to know of a request.
struct request_view {
  std::span<const std::uint64_t> blocks; // of `prefix_block_hashes`; empty for a plain service
  int prompt_tokens = 0;                 // 0 for a plain service
  int expected_output_tokens = 0;
  mono_time target;                        // the first token should come by then
  mono_time deadline;                      // and must come by then
  std::span<const endpoint_slot> excluded; // by earlier attempts
  // Endpoints at which the whole fleet gathers such prompts: believed to hold the first
  // `home_blocks` blocks, whatever this daemon has sent there.
  std::span<const endpoint_slot> homes = {};
  std::uint32_t home_blocks = 0;
};

// The parts of a prediction, in seconds from now.
struct prediction {
  double queue = 0;
  double prefill = 0;
  double network = 0;
  int cached_tokens = 0; // prompt tokens believed to be in the endpoint's cache

  [[nodiscard]] double first_token() const { return queue + prefill + network; }

  friend bool operator==(const prediction&, const prediction&) = default;
};

// Where to send the attempt.
struct chosen_endpoint {
  endpoint_slot slot = 0;
  mono_time first_token_at; // predicted
  double cost = 0;          // of the request, in the currency of the prices
  prediction parts;

  friend bool operator==(const chosen_endpoint&, const chosen_endpoint&) = default;
};

// Why no endpoint can be given.
enum class no_endpoint_reason {
  no_candidate,         // none, or all are leaving, unreachable or excluded
  deadline_unreachable, // no candidate can give the first token in time
  none_open,            // each has said that it takes no request now
};

[[nodiscard]] std::string_view to_string(no_endpoint_reason reason);

struct no_endpoint {
  no_endpoint_reason reason = no_endpoint_reason::no_candidate;
  // When the queue of the best candidate will have drained so far that a request like this one
  // meets its deadline: a truthful Retry-After. Absent if there is no candidate.
  std::optional<mono_time> retry_at;
  // An idle endpoint would meet the deadline: it is the queue that makes the request late, and not
  // its size, of which the rates may be wrong.
  bool only_queued = false;

  friend bool operator==(const no_endpoint&, const no_endpoint&) = default;
};

using decision = std::variant<chosen_endpoint, no_endpoint>;

// The state that a decision reads.
struct routing_view {
  const endpoint_table& endpoints;
  const prefix_belief& prefixes;
  const routing_options& options;
};

// Chooses among `candidates`, the slots that the selectors left. Slots not in the table are an
// error (`unknown_endpoint`).
[[nodiscard]] decision choose_endpoint(const routing_view& view, const request_view& request,
                                       std::span<const endpoint_slot> candidates, mono_time now,
                                       std::mt19937_64& rng);

// What became of one candidate.
enum class verdict {
  chosen,
  near_equal,      // as good as the chosen one; the draw went the other way
  worse,           // meets the target, but costs more or takes longer
  misses_target,   // others meet the latency target
  misses_deadline, // cannot give the first token in time
  leaving,
  unreachable, // connections failed lately
  excluded,    // by an earlier attempt
};

[[nodiscard]] std::string_view to_string(verdict v);

struct candidate_explanation {
  endpoint_slot slot = 0;
  verdict result = verdict::worse;
  prediction parts;
  double cost = 0;
  double score = 0; // lower is better; comparable only within one decision

  friend bool operator==(const candidate_explanation&, const candidate_explanation&) = default;
};

// The same choice with a line for every candidate. Given an equal `rng` it names the endpoint that
// `choose_endpoint` chooses. For operators; not meant for the request path.
[[nodiscard]] std::vector<candidate_explanation>
explain_choice(const routing_view& view, const request_view& request,
               std::span<const endpoint_slot> candidates, mono_time now, std::mt19937_64& rng);

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_CHOOSE_ENDPOINT_H_
