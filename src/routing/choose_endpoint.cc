#include "wisteriaflow/routing/choose_endpoint.h"

#include <algorithm>
#include <cstddef>
#include <limits>

namespace wisteriaflow::routing {
namespace {

constexpr double seconds_per_hour = 3600;
constexpr double min_target_seconds = 0.001; // avoids a division by zero for a past target

double seconds(mono_time::duration d)
{
  return std::chrono::duration<double>(d).count();
}

mono_time after(mono_time now, double s)
{
  return now + std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
}

// Whether a candidate may be chosen at all, determined before the candidates are compared.
enum class eligibility { eligible, leaving, unreachable, excluded, memory_full };

struct scored_candidate {
  endpoint_slot slot = 0;
  eligibility status = eligibility::eligible;
  prediction parts;
  double cost = 0;
  double score = 0;
  double batch_load = 0; // requests over batch places; 1 when full
  candidate_hint hint;
  double blocked_requests = 0; // requests of others that the prefill delays
};

eligibility eligibility_of(const endpoint_state& endpoint, const request_view& request,
                           endpoint_slot slot, mono_time now)
{
  if (endpoint.leaving) {
    return eligibility::leaving;
  }
  if (std::find(request.excluded.begin(), request.excluded.end(), slot) != request.excluded.end()) {
    return eligibility::excluded;
  }
  return now < endpoint.unreachable_until ? eligibility::unreachable : eligibility::eligible;
}

double decode_seconds(const endpoint_state& endpoint, int output_tokens)
{
  if (output_tokens == 0) {
    return 0;
  }
  const double rate = endpoint.decode_rate.value();
  return rate > 0 ? output_tokens / rate : endpoint.decode_seconds.value();
}

prediction predict(const routing_view& view, const request_view& request,
                   const endpoint_state& endpoint, const load::engine_occupancy* occupancy,
                   std::uint32_t blocks, mono_time now)
{
  const auto& options = view.options;
  const auto& rules = options.rules;
  prediction p;
  p.queue = endpoint.queue_seconds(
      {.local_corrections = rules.local_corrections,
       .uncertainty = rules.uncertainty ? options.queue_uncertainty : 0,
       .decay_seconds = rules.report_decay ? options.report_decay_seconds : 0,
       .rank = request.rank.value_or(load::rank_class::urgent),
       .occupancy = occupancy,
       .now = now});
  p.cached_tokens =
      std::min(request.prompt_tokens, static_cast<int>(blocks) * options.tokens_per_block);
  p.prefill = (request.prompt_tokens - p.cached_tokens) / endpoint.prefill_rate.value();
  if (rules.network) {
    const bool same = endpoint.description.availability_zone == options.availability_zone;
    p.network = seconds(same ? options.same_zone_latency : options.cross_zone_latency);
  }
  return p;
}

// Sets how full the endpoint is, and how many requests of others the prefill delays. `occupancy` is
// null if the endpoint does not admit requests by rank.
void set_load(scored_candidate& it, const routing_options& options, const request_view& request,
              const endpoint_state& endpoint, const load::engine_occupancy* occupancy)
{
  if (occupancy != nullptr) {
    it.batch_load = occupancy->load();
    it.blocked_requests = load::delayed_calls(*occupancy, *request.rank);
    return;
  }
  it.batch_load = endpoint.batch_load(options.rules.local_corrections);
  it.blocked_requests = options.prefill_blocking_weight;
}

// Price of the engine time that the request takes. Prefill uses the engine exclusively; decoding
// shares it with the rest of the batch.
double cost_of(const endpoint_state& endpoint, const request_view& request, const prediction& p)
{
  const double shared = decode_seconds(endpoint, request.expected_output_tokens) /
                        std::max(1, endpoint.report.max_running);
  return endpoint.description.price_per_hour / seconds_per_hour * (p.prefill + shared);
}

// Number of leading blocks of the request that each slot probably has cached, indexed by slot.
// Empty if prefixes are not considered.
std::vector<std::uint32_t> match_prefixes(const routing_view& view, const request_view& request,
                                          std::span<const endpoint_slot> candidates, mono_time now)
{
  std::vector<std::uint32_t> matched;
  if (!view.options.rules.prefixes || request.blocks.empty() || candidates.empty()) {
    return matched;
  }
  matched.resize(*std::max_element(candidates.begin(), candidates.end()) + std::size_t{1});
  view.prefixes.match(request.blocks, now, matched);
  for (const auto slot : request.affinity_endpoints) {
    if (slot < matched.size()) {
      matched[slot] = std::max(matched[slot], request.affinity_blocks);
    }
  }
  return matched;
}

// Determines the eligibility, prediction and cost of each candidate.
std::vector<scored_candidate> evaluate_candidates(const routing_view& view,
                                                  const request_view& request,
                                                  std::span<const endpoint_slot> candidates,
                                                  mono_time now)
{
  const auto matched = match_prefixes(view, request, candidates, now);
  std::vector<scored_candidate> all;
  all.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto slot = candidates[i];
    const auto& endpoint = view.endpoints.at(slot);
    scored_candidate it{.slot = slot, .status = eligibility_of(endpoint, request, slot, now)};
    const auto occupancy = request.rank ? endpoint.occupancy_by_rank() : std::nullopt;
    const auto* ranked = occupancy ? &*occupancy : nullptr;
    it.parts = predict(view, request, endpoint, ranked, matched.empty() ? 0 : matched[slot], now);
    it.hint = i < request.hints.size() ? request.hints[i] : candidate_hint{};
    set_load(it, view.options, request, endpoint, ranked);
    it.cost = cost_of(endpoint, request, it.parts);
    all.push_back(it);
  }
  return all;
}

// The result of comparing the evaluated candidates.
struct comparison {
  double limit = 0;                          // longest time to first token considered, in seconds
  const scored_candidate* fastest = nullptr; // among the eligible ones
  const scored_candidate* chosen = nullptr;  // null if none can meet the deadline
  double best_score = 0;
};

bool is_within_limit(const scored_candidate& it, double limit)
{
  return it.status == eligibility::eligible && it.parts.first_token() <= limit;
}

// Seconds to the first token, plus the cost to other requests on the endpoint: the prefill blocks
// those queued behind it, and a fuller batch slows down every response in it.
double effective_seconds(const scored_candidate& it, const routing_options& options)
{
  double s = it.parts.first_token() + it.hint.penalty_seconds;
  if (options.rules.prefill_blocking) {
    s += it.blocked_requests * it.parts.prefill;
  }
  if (options.rules.batch_load) {
    s += options.batch_load_penalty_seconds * it.batch_load * it.batch_load;
  }
  return s;
}

void score_all(std::vector<scored_candidate>& all, const routing_options& options, double target,
               double limit, double price_weight)
{
  double highest_cost = 0;
  for (const auto& it : all) {
    if (is_within_limit(it, limit)) {
      highest_cost = std::max(highest_cost, it.cost);
    }
  }
  const double weight = options.rules.price && highest_cost > 0 ? price_weight : 0;
  for (auto& it : all) {
    const double latency = effective_seconds(it, options) / target;
    const double price = weight > 0 ? it.cost / highest_cost : 0;
    it.score = (1 - weight) * latency + weight * price;
  }
}

// The highest score that counts as nearly equal to the best one.
double near_equal_limit(const comparison& c, const routing_options& options)
{
  return options.rules.random_tie_break ? c.best_score * (1 + options.near_equal_margin)
                                        : c.best_score;
}

const scored_candidate* pick_random(const std::vector<scored_candidate>& all, const comparison& c,
                                    double highest, std::mt19937_64& rng)
{
  // Reservoir sampling: one pass, without a list of the nearly equal candidates.
  const scored_candidate* drawn = nullptr;
  std::uint64_t seen = 0;
  for (const auto& it : all) {
    if (!is_within_limit(it, c.limit) || it.score > highest) {
      continue;
    }
    ++seen;
    if (rng() % seen == 0) {
      drawn = &it;
    }
  }
  return drawn;
}

// Leaves out the candidates whose memory the request would overflow, if another one meets the
// deadline.
void exclude_full_memory(std::vector<scored_candidate>& all, double deadline)
{
  const bool has_other = std::any_of(all.begin(), all.end(), [&](const scored_candidate& it) {
    return is_within_limit(it, deadline) && !it.hint.overflows_memory;
  });
  for (auto& it : all) {
    if (has_other && it.hint.overflows_memory && it.status == eligibility::eligible) {
      it.status = eligibility::memory_full;
    }
  }
}

comparison compare(std::vector<scored_candidate>& all, const routing_options& options,
                   const request_view& request, mono_time now, std::mt19937_64& rng)
{
  comparison c;
  const double deadline = seconds(request.deadline - now);
  if (!request.hints.empty()) {
    exclude_full_memory(all, deadline);
  }
  for (const auto& it : all) {
    if (it.status == eligibility::eligible &&
        (c.fastest == nullptr || it.parts.first_token() < c.fastest->parts.first_token())) {
      c.fastest = &it;
    }
  }
  if (c.fastest == nullptr || c.fastest->parts.first_token() > deadline) {
    return c;
  }
  const double target = std::max(min_target_seconds, seconds(request.target - now));
  const double within = std::min(deadline, target * options.target_fraction);
  const bool target_met = c.fastest->parts.first_token() <= within;
  c.limit = target_met ? within : deadline;
  // If no candidate meets the target, only latency counts.
  score_all(all, options, target, c.limit, target_met ? options.price_preference : 0);
  c.best_score = std::numeric_limits<double>::infinity();
  for (const auto& it : all) {
    if (is_within_limit(it, c.limit)) {
      c.best_score = std::min(c.best_score, it.score);
    }
  }
  c.chosen = pick_random(all, c, near_equal_limit(c, options), rng);
  return c;
}

candidate_outcome outcome_of(const scored_candidate& it, const comparison& c,
                             const routing_options& options, double deadline)
{
  switch (it.status) {
  case eligibility::leaving:
    return candidate_outcome::leaving;
  case eligibility::unreachable:
    return candidate_outcome::unreachable;
  case eligibility::excluded:
    return candidate_outcome::excluded;
  case eligibility::memory_full:
    return candidate_outcome::memory_full;
  case eligibility::eligible:
    break;
  }
  if (&it == c.chosen) {
    return candidate_outcome::chosen;
  }
  if (it.parts.first_token() > deadline) {
    return candidate_outcome::misses_deadline;
  }
  if (!is_within_limit(it, c.limit)) {
    return candidate_outcome::misses_target;
  }
  return it.score <= near_equal_limit(c, options) ? candidate_outcome::near_equal
                                                  : candidate_outcome::worse;
}

no_endpoint make_no_endpoint(const comparison& c, const request_view& request, mono_time now)
{
  if (c.fastest == nullptr) {
    return {.reason = no_endpoint_reason::no_candidate};
  }
  // The queue drains as time passes, so the time by which the deadline is missed now is also the
  // time to wait until it can be met.
  const auto& parts = c.fastest->parts;
  const double left = seconds(request.deadline - now);
  return {.reason = no_endpoint_reason::deadline_unreachable,
          .retry_at = after(now, parts.first_token() - left),
          .feasible_when_idle = parts.first_token() - parts.queue <= left};
}

} // namespace

decision choose_endpoint(const routing_view& view, const request_view& request,
                         std::span<const endpoint_slot> candidates, mono_time now,
                         std::mt19937_64& rng)
{
  auto all = evaluate_candidates(view, request, candidates, now);
  const auto c = compare(all, view.options, request, now, rng);
  if (c.chosen == nullptr) {
    return make_no_endpoint(c, request, now);
  }
  return chosen_endpoint{.slot = c.chosen->slot,
                         .first_token_at = after(now, c.chosen->parts.first_token()),
                         .cost = c.chosen->cost,
                         .parts = c.chosen->parts};
}

std::vector<candidate_explanation> explain_choice(const routing_view& view,
                                                  const request_view& request,
                                                  std::span<const endpoint_slot> candidates,
                                                  mono_time now, std::mt19937_64& rng)
{
  auto all = evaluate_candidates(view, request, candidates, now);
  const auto c = compare(all, view.options, request, now, rng);
  const double deadline = seconds(request.deadline - now);
  std::vector<candidate_explanation> lines;
  lines.reserve(all.size());
  for (const auto& it : all) {
    lines.push_back({.slot = it.slot,
                     .result = outcome_of(it, c, view.options, deadline),
                     .parts = it.parts,
                     .cost = it.cost,
                     .score = it.score});
  }
  return lines;
}

std::string_view to_string(no_endpoint_reason reason)
{
  switch (reason) {
  case no_endpoint_reason::no_candidate:
    return "no endpoint answered";
  case no_endpoint_reason::deadline_unreachable:
    return "deadline unreachable";
  case no_endpoint_reason::none_accepting:
    return "endpoints take no request now";
  }
  return "unknown";
}

std::string_view to_string(candidate_outcome outcome)
{
  switch (outcome) {
  case candidate_outcome::chosen:
    return "chosen";
  case candidate_outcome::near_equal:
    return "near equal";
  case candidate_outcome::worse:
    return "worse";
  case candidate_outcome::misses_target:
    return "misses the latency target";
  case candidate_outcome::misses_deadline:
    return "misses the deadline";
  case candidate_outcome::leaving:
    return "leaving";
  case candidate_outcome::memory_full:
    return "memory full";
  case candidate_outcome::unreachable:
    return "unreachable";
  case candidate_outcome::excluded:
    return "excluded by an earlier attempt";
  }
  return "unknown";
}

} // namespace wisteriaflow::routing
