#include "wisteriaflow/routing/choose_endpoint.h"

#include <algorithm>
#include <cstddef>
#include <limits>

namespace wisteriaflow::routing {
namespace {

constexpr double seconds_per_hour = 3600;
constexpr double shortest_target = 0.001; // s; avoids a division by zero for a target in the past

double seconds(mono_time::duration d)
{
  return std::chrono::duration<double>(d).count();
}

mono_time after(mono_time now, double s)
{
  return now + std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
}

// Where a candidate stands before the candidates are compared.
enum class standing { open, leaving, unreachable, excluded };

struct scored {
  endpoint_slot slot = 0;
  standing at = standing::open;
  prediction parts;
  double cost = 0;
  double score = 0;
  double crowding = 0; // batch places in use, 1 when full
};

standing standing_of(const endpoint_state& endpoint, const request_view& request,
                     endpoint_slot slot, mono_time now)
{
  if (endpoint.leaving) {
    return standing::leaving;
  }
  if (std::find(request.excluded.begin(), request.excluded.end(), slot) != request.excluded.end()) {
    return standing::excluded;
  }
  return now < endpoint.unreachable_until ? standing::unreachable : standing::open;
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
                   const endpoint_state& endpoint, std::uint32_t blocks, mono_time now)
{
  const auto& options = view.options;
  const auto& rules = options.rules;
  prediction p;
  p.queue = endpoint.queue_seconds(
      {.own_work = rules.own_work,
       .uncertainty = rules.uncertainty ? options.uncertainty : 0,
       .fades_in_seconds = rules.fading ? options.report_fades_in_seconds : 0,
       .now = now});
  p.cached_tokens =
      std::min(request.prompt_tokens, static_cast<int>(blocks) * options.tokens_per_block);
  p.prefill = (request.prompt_tokens - p.cached_tokens) / endpoint.prefill_rate.value();
  if (rules.network) {
    const bool same = endpoint.description.availability_zone == options.availability_zone;
    p.network = seconds(same ? options.network_within_zone : options.network_between_zones);
  }
  return p;
}

// Price of the engine time that the request takes: prefill has the engine alone, decoding shares
// it.
double cost_of(const endpoint_state& endpoint, const request_view& request, const prediction& p)
{
  const double shared = decode_seconds(endpoint, request.expected_output_tokens) /
                        std::max(1, endpoint.report.max_running);
  return endpoint.description.price_per_hour / seconds_per_hour * (p.prefill + shared);
}

// Blocks of the request that each slot is believed to hold; empty where nothing is believed.
std::vector<std::uint32_t> match_prefixes(const routing_view& view, const request_view& request,
                                          std::span<const endpoint_slot> candidates, mono_time now)
{
  std::vector<std::uint32_t> matched;
  if (!view.options.rules.prefixes || request.blocks.empty() || candidates.empty()) {
    return matched;
  }
  matched.resize(*std::max_element(candidates.begin(), candidates.end()) + std::size_t{1});
  view.prefixes.match(request.blocks, now, matched);
  for (const auto home : request.homes) {
    if (home < matched.size()) {
      matched[home] = std::max(matched[home], request.home_blocks);
    }
  }
  return matched;
}

// The candidates' standing, prediction and cost.
std::vector<scored> assess(const routing_view& view, const request_view& request,
                           std::span<const endpoint_slot> candidates, mono_time now)
{
  const auto matched = match_prefixes(view, request, candidates, now);
  std::vector<scored> all;
  all.reserve(candidates.size());
  for (const auto slot : candidates) {
    const auto& endpoint = view.endpoints.at(slot);
    scored it{.slot = slot, .at = standing_of(endpoint, request, slot, now)};
    it.parts = predict(view, request, endpoint, matched.empty() ? 0 : matched[slot], now);
    it.crowding = endpoint.crowding(view.options.rules.own_work);
    it.cost = cost_of(endpoint, request, it.parts);
    all.push_back(it);
  }
  return all;
}

// The outcome of comparing the assessed candidates.
struct comparison {
  double limit = 0;                // seconds: candidates above it are not considered
  const scored* fastest = nullptr; // among the open ones
  const scored* chosen = nullptr;  // null if none can meet the deadline
  double best_score = 0;
};

bool considered(const scored& it, double limit)
{
  return it.at == standing::open && it.parts.first_token() <= limit;
}

// Seconds to the first token, and what the request would cost the others on the endpoint: its
// prefill holds up those behind it, and a fuller batch slows every answer in it.
double shared_seconds(const scored& it, const routing_options& options)
{
  double s = it.parts.first_token();
  if (options.rules.others_wait) {
    s += options.prefill_weight * it.parts.prefill;
  }
  if (options.rules.crowding) {
    s += options.crowding_seconds * it.crowding * it.crowding;
  }
  return s;
}

void score_all(std::vector<scored>& all, const routing_options& options, double target,
               double limit, double price_weight)
{
  double highest_cost = 0;
  for (const auto& it : all) {
    if (considered(it, limit)) {
      highest_cost = std::max(highest_cost, it.cost);
    }
  }
  const double weight = options.rules.price && highest_cost > 0 ? price_weight : 0;
  for (auto& it : all) {
    const double latency = shared_seconds(it, options) / target;
    const double price = weight > 0 ? it.cost / highest_cost : 0;
    it.score = (1 - weight) * latency + weight * price;
  }
}

// The highest score that counts as equal to the best one.
double highest_equal(const comparison& c, const routing_options& options)
{
  return options.rules.spread ? c.best_score * (1 + options.near_equal) : c.best_score;
}

const scored* draw(const std::vector<scored>& all, const comparison& c, double highest,
                   std::mt19937_64& rng)
{
  // Reservoir sampling: one pass, no list of near-equals.
  const scored* drawn = nullptr;
  std::uint64_t seen = 0;
  for (const auto& it : all) {
    if (!considered(it, c.limit) || it.score > highest) {
      continue;
    }
    ++seen;
    if (rng() % seen == 0) {
      drawn = &it;
    }
  }
  return drawn;
}

comparison compare(std::vector<scored>& all, const routing_options& options,
                   const request_view& request, mono_time now, std::mt19937_64& rng)
{
  comparison c;
  for (const auto& it : all) {
    if (it.at == standing::open &&
        (c.fastest == nullptr || it.parts.first_token() < c.fastest->parts.first_token())) {
      c.fastest = &it;
    }
  }
  const double deadline = seconds(request.deadline - now);
  if (c.fastest == nullptr || c.fastest->parts.first_token() > deadline) {
    return c;
  }
  const double target = std::max(shortest_target, seconds(request.target - now));
  const double within = std::min(deadline, target * options.target_margin);
  const bool target_met = c.fastest->parts.first_token() <= within;
  c.limit = target_met ? within : deadline;
  // Past the target, only the time counts.
  score_all(all, options, target, c.limit, target_met ? options.price_preference : 0);
  c.best_score = std::numeric_limits<double>::infinity();
  for (const auto& it : all) {
    if (considered(it, c.limit)) {
      c.best_score = std::min(c.best_score, it.score);
    }
  }
  c.chosen = draw(all, c, highest_equal(c, options), rng);
  return c;
}

verdict verdict_of(const scored& it, const comparison& c, const routing_options& options,
                   double deadline)
{
  switch (it.at) {
  case standing::leaving:
    return verdict::leaving;
  case standing::unreachable:
    return verdict::unreachable;
  case standing::excluded:
    return verdict::excluded;
  case standing::open:
    break;
  }
  if (&it == c.chosen) {
    return verdict::chosen;
  }
  if (it.parts.first_token() > deadline) {
    return verdict::misses_deadline;
  }
  if (!considered(it, c.limit)) {
    return verdict::misses_target;
  }
  return it.score <= highest_equal(c, options) ? verdict::near_equal : verdict::worse;
}

no_endpoint refusal(const comparison& c, const request_view& request, mono_time now)
{
  if (c.fastest == nullptr) {
    return {.reason = no_endpoint_reason::no_candidate};
  }
  // The queue drains as time passes: what is missing now will be gone after as long.
  const auto& parts = c.fastest->parts;
  const double left = seconds(request.deadline - now);
  return {.reason = no_endpoint_reason::deadline_unreachable,
          .retry_at = after(now, parts.first_token() - left),
          .only_queued = parts.first_token() - parts.queue <= left};
}

} // namespace

decision choose_endpoint(const routing_view& view, const request_view& request,
                         std::span<const endpoint_slot> candidates, mono_time now,
                         std::mt19937_64& rng)
{
  auto all = assess(view, request, candidates, now);
  const auto c = compare(all, view.options, request, now, rng);
  if (c.chosen == nullptr) {
    return refusal(c, request, now);
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
  auto all = assess(view, request, candidates, now);
  const auto c = compare(all, view.options, request, now, rng);
  const double deadline = seconds(request.deadline - now);
  std::vector<candidate_explanation> lines;
  lines.reserve(all.size());
  for (const auto& it : all) {
    lines.push_back({.slot = it.slot,
                     .result = verdict_of(it, c, view.options, deadline),
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
  case no_endpoint_reason::none_open:
    return "endpoints take no request now";
  }
  return "unknown";
}

std::string_view to_string(verdict v)
{
  switch (v) {
  case verdict::chosen:
    return "chosen";
  case verdict::near_equal:
    return "near equal";
  case verdict::worse:
    return "worse";
  case verdict::misses_target:
    return "misses the latency target";
  case verdict::misses_deadline:
    return "misses the deadline";
  case verdict::leaving:
    return "leaving";
  case verdict::unreachable:
    return "unreachable";
  case verdict::excluded:
    return "excluded by an earlier attempt";
  }
  return "unknown";
}

} // namespace wisteriaflow::routing
