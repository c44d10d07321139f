// endpoint_pool's choice of an endpoint for one attempt; see endpoint_pool.cc for the rest.

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/least_loaded_choice.h"

namespace wisteriaflow::gateway {
namespace {

// Tokens of a prompt after its shared parts.
int own_tokens(const token_size& size, const prompt_blocks& prompt)
{
  const auto shared = static_cast<int>(prompt.shared) * tokens_per_block;
  return std::max(0, static_cast<int>(size.prompt) - shared);
}

// Whether the call may be sent to this endpoint according to its software version.
bool has_allowed_version(const selection_criteria& criteria, const endpoint_record& r)
{
  const auto& barred = criteria.barred_versions;
  if (std::find(barred.begin(), barred.end(), r.version) != barred.end()) {
    return false;
  }
  if (criteria.required_version) {
    return !r.version.empty() && r.version == *criteria.required_version;
  }
  const auto& versions = criteria.versions;
  switch (versions.endpoints) {
  case version_selection::subset::any:
    return true;
  case version_selection::subset::baseline:
    return r.version != versions.target;
  case version_selection::subset::trial:
  case version_selection::subset::target:
    return r.version == versions.target;
  }
  return true;
}

} // namespace

mono_time endpoint_pool::ejected_until(routing::endpoint_slot slot) const
{
  return health_.ejected_until(table_.at(slot).description.id);
}

bool endpoint_pool::is_ejected(routing::endpoint_slot slot, mono_time now) const
{
  const auto& id = table_.at(slot).description.id;
  return now < ejected_until(slot) ||
         peers_.total_at(id).unreachable >= options_.unreachable_quorum;
}

endpoint_pool::candidates endpoint_pool::candidates_for(const selection_criteria& criteria,
                                                        mono_time now)
{
  candidates out;
  for (const auto* r : serving(criteria.service)) {
    if (!has_allowed_version(criteria, *r)) {
      continue;
    }
    const auto& excluded = criteria.excluded;
    if (std::find(excluded.begin(), excluded.end(), r->id) != excluded.end()) {
      continue;
    }
    // The terms that an endpoint states are binding, whatever else favours it.
    const auto allowed_at = terms_.next_allowed_at(r->id, now);
    if (allowed_at > now) {
      out.next_allowed_at = std::min(out.next_allowed_at.value_or(allowed_at), allowed_at);
      continue;
    }
    const auto slot = *table_.find(r->id);
    if (!has_free_place(*r, now)) {
      if (!is_ejected(slot, now) && !avoidance_.is_avoided(r->id)) {
        out.full.push_back(slot);
      }
      continue;
    }
    // The endpoints of a version on trial get their calls for as long as the trial goes on.
    if (avoidance_.is_avoided(r->id) &&
        criteria.versions.endpoints != version_selection::subset::trial) {
      out.avoided.push_back(slot);
      continue;
    }
    (is_ejected(slot, now) ? out.ejected : out.open).push_back(slot);
  }
  // If most endpoints are ejected, the cause is probably not in the endpoints, and the few others
  // would be overloaded.
  if (out.open.size() + out.full.size() < out.ejected.size()) {
    out.open.insert(out.open.end(), out.ejected.begin(), out.ejected.end());
    std::sort(out.open.begin(), out.open.end());
    out.ejected.clear();
  }
  if (criteria.versions.endpoints == version_selection::subset::trial) {
    limit_trial_endpoints(criteria, out.open);
  }
  return out;
}

void endpoint_pool::limit_trial_endpoints(const selection_criteria& criteria,
                                          std::vector<routing::endpoint_slot>& open) const
{
  const auto score = [&](routing::endpoint_slot slot) {
    return rendezvous_score(criteria.versions.trial_seed, table_.at(slot).description.id.value());
  };
  const auto all = serving(criteria.service);
  const auto present = std::count_if(all.begin(), all.end(), [&](const endpoint_record* r) {
    return r->version != criteria.versions.target;
  });
  const auto wanted = static_cast<std::size_t>(
      std::ceil(criteria.versions.target_fraction * static_cast<double>(present)));
  const auto number = std::min(open.size(), std::max<std::size_t>(1, wanted));
  std::sort(open.begin(), open.end(), [&](auto a, auto b) { return score(a) > score(b); });
  open.resize(number);
  std::sort(open.begin(), open.end());
}

std::vector<routing::endpoint_slot>
endpoint_pool::affinity_endpoints(const prompt_blocks& prompt, const token_size& size,
                                  const std::vector<routing::endpoint_slot>& open, mono_time now)
{
  if (!prompt.shared_key) {
    return {};
  }
  const double busy = own_tokens(size, prompt) / options_.initial_prefill_rate;
  const auto wanted = prefix_traffic_.affinity_count(*prompt.shared_key, busy, live_daemons(), now);
  std::vector<std::pair<std::uint64_t, routing::endpoint_slot>> scores;
  scores.reserve(open.size());
  for (const auto slot : open) {
    const auto& id = table_.at(slot).description.id;
    scores.emplace_back(rendezvous_score(*prompt.shared_key, id.value()), slot);
  }
  const auto number = static_cast<std::ptrdiff_t>(std::min(wanted, scores.size()));
  std::partial_sort(scores.begin(), scores.begin() + number, scores.end(), std::greater<>());
  std::vector<routing::endpoint_slot> out;
  for (auto it = scores.begin(); it != scores.begin() + number; ++it) {
    out.push_back(it->second);
  }
  return out;
}

routing::no_endpoint endpoint_pool::reject_until(const selection_criteria& criteria,
                                                 mono_time next_allowed_at)
{
  if (criteria.size) {
    // Refused calls count as demand too: a fleet that refuses calls is short of endpoints.
    meter_.on_sent(criteria.service,
                   own_tokens(believed_size(criteria), split_prompt(criteria.prompt)));
  }
  return {.reason = routing::no_endpoint_reason::none_accepting, .retry_at = next_allowed_at};
}

pool_choice endpoint_pool::choose_among(const candidates& candidates,
                                        const selection_criteria& criteria, mono_time now)
{
  if (candidates.open.empty() && !candidates.full.empty()) {
    return choose_through_peer(criteria, candidates.full, now);
  }
  if (candidates.open.empty() && candidates.next_allowed_at) {
    return reject_until(criteria, *candidates.next_allowed_at);
  }
  if (!criteria.size && criteria.prompt.empty()) {
    return choose_for_plain(criteria, candidates.open, now);
  }
  const auto prompt = split_prompt(criteria.prompt);
  const auto& blocks = prompt.hashes;
  const auto size = believed_size(criteria);
  const auto affinity = affinity_endpoints(prompt, size, candidates.open, now);
  const auto known = place(criteria, size, prompt, candidates.open);
  const routing::request_view request{.blocks = blocks,
                                      .prompt_tokens = static_cast<int>(size.prompt),
                                      .expected_output_tokens = static_cast<int>(size.output),
                                      .target = criteria.target,
                                      .deadline = criteria.deadline,
                                      .affinity_endpoints = affinity,
                                      .affinity_blocks = prompt.shared,
                                      .rank = criteria.rank,
                                      .hints = known.hints};
  const routing::routing_view view{.endpoints = table_, .prefixes = prefixes_, .options = routing_};
  const auto choice = routing::choose_endpoint(view, request, candidates.open, now, random_);
  if (const auto* chosen = std::get_if<routing::chosen_endpoint>(&choice)) {
    const int prefill = static_cast<int>(size.prompt) - chosen->parts.cached_tokens;
    auto out = start_attempt(chosen->slot, prefill, blocks, criteria, now);
    out.reason = reason_of(known, *chosen, candidates.open);
    out.prefix_source = prefix_source_for(chosen->slot, prompt, candidates.open, now);
    return out;
  }
  const auto& none = std::get<routing::no_endpoint>(choice);
  if (candidates.open.empty()) {
    return none;
  }
  if (none.feasible_when_idle && criteria.may_be_refused) {
    // Refused calls count as demand too: a fleet that refuses calls is short of endpoints.
    meter_.on_sent(criteria.service, own_tokens(size, prompt));
    return none;
  }
  // Every endpoint seems too slow for the request's size, or the call may have run already: use the
  // endpoint with the earliest end of ejection and, among equals, the lowest load.
  const auto slot =
      *std::min_element(candidates.open.begin(), candidates.open.end(), [this](auto a, auto b) {
        return std::pair(ejected_until(a), table_.at(a).batch_load()) <
               std::pair(ejected_until(b), table_.at(b).batch_load());
      });
  return start_attempt(slot, static_cast<int>(size.prompt), blocks, criteria, now);
}

pool_choice endpoint_pool::choose_for_plain(const selection_criteria& criteria,
                                            const std::vector<routing::endpoint_slot>& open,
                                            mono_time now)
{
  std::vector<plain_candidate> candidates;
  candidates.reserve(open.size());
  for (const auto slot : open) {
    const auto& id = table_.at(slot).description.id;
    const auto own = own_.find(id);
    const auto calls = own == own_.end() ? 0 : own->second.waiting + own->second.running;
    candidates.push_back({.own_calls = calls, .places = records_.at(id).places});
  }
  const auto best = choose_least_loaded(candidates, random_);
  if (!best) {
    return routing::no_endpoint{};
  }
  return start_attempt(open[*best], 0, {}, criteria, now);
}

// Only endpoints of the same version are a source: another one may lay out its memory differently.
// Leaving endpoints are none, although they still have much in their caches: if one terminates
// before it has answered, the prompt is delayed for seconds.
std::optional<http::socket_address>
endpoint_pool::prefix_source_for(routing::endpoint_slot slot, const prompt_blocks& prompt,
                                 const std::vector<routing::endpoint_slot>& open,
                                 mono_time now) const
{
  if (!prompt.shared_key || open.empty()) {
    return std::nullopt;
  }
  std::vector<std::uint32_t> matched(*std::max_element(open.begin(), open.end()) + std::size_t{1});
  prefixes_.match(prompt.hashes, now, matched);
  const auto& version = records_.at(table_.at(slot).description.id).version;
  std::vector<prefix_holder> holders;
  for (const auto other : open) {
    const auto& record = records_.at(table_.at(other).description.id);
    if (other != slot && !version.empty() && record.version == version) {
      holders.push_back({.id = table_.at(other).description.id, .blocks_sent = matched[other]});
    }
  }
  const auto best = likeliest_holder(prompt, holders);
  return best ? std::optional(records_.at(holders[*best].id).address) : std::nullopt;
}

// Counts a new attempt at the chosen endpoint.
pooled_endpoint endpoint_pool::start_attempt(routing::endpoint_slot slot, int prefill,
                                             std::span<const std::uint64_t> blocks,
                                             const selection_criteria& criteria, mono_time now,
                                             bool has_place)
{
  const auto& id = table_.at(slot).description.id;
  terms_.on_sent(id, now);
  if (has_place) {
    places_.on_sent(places_of(records_.at(id)).process);
  }
  prefixes_.on_sent(slot, blocks, now);
  if (criteria.size) {
    meter_.on_sent(criteria.service, prefill);
  }
  const auto traits = traits_of(criteria, slot, prefill);
  auto& own = own_[id];
  own.resident_tokens += traits.resident_tokens;
  own.add_waiting(traits.rank, static_cast<std::uint64_t>(std::max(0, prefill)));
  const auto& record = records_.at(id);
  return {.id = id,
          .incarnation = record.incarnation,
          .version = record.version,
          .address = record.address,
          .work = table_.on_sent(slot, prefill, now, traits),
          .has_place = has_place};
}

} // namespace wisteriaflow::gateway
