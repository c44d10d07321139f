// The choice of an endpoint for one attempt; the rest of the pool is in endpoint_pool.cc.

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/plain_choice.h"

namespace wisteriaflow::gateway {
namespace {

// Tokens of a prompt beyond its shared parts.
int own_tokens(const token_size& size, const prompt_blocks& prompt)
{
  const auto shared = static_cast<int>(prompt.shared) * tokens_per_block;
  return std::max(0, static_cast<int>(size.prompt) - shared);
}

// Whether the endpoint is one of those that the call may go to by their version.
bool is_in(const version_selection& lane, const endpoint_record& r)
{
  switch (lane.endpoints) {
  case version_selection::subset::any:
    return true;
  case version_selection::subset::baseline:
    return r.version != lane.target;
  case version_selection::subset::trial:
  case version_selection::subset::target:
    return r.version == lane.target;
  }
  return true;
}

} // namespace

mono_time endpoint_pool::left_out_until(routing::endpoint_slot slot) const
{
  return health_.left_out_until(table_.at(slot).description.id);
}

bool endpoint_pool::is_left_out(routing::endpoint_slot slot, mono_time now) const
{
  const auto& id = table_.at(slot).description.id;
  return now < left_out_until(slot) || peers_.total_at(id).unreachable >= options_.peers_believed;
}

endpoint_pool::candidates endpoint_pool::candidates_for(const endpoint_wish& wish,
                                                        mono_time now) const
{
  candidates out;
  for (const auto* r : serving(wish.service)) {
    if (!is_in(wish.lane, *r)) {
      continue;
    }
    const auto& excluded = wish.excluded;
    if (std::find(excluded.begin(), excluded.end(), r->id) != excluded.end()) {
      continue;
    }
    // Whatever else speaks for it: what an endpoint says of itself is binding.
    const auto open_at = terms_.open_at(r->id, now);
    if (open_at > now) {
      out.opens_at = std::min(out.opens_at.value_or(open_at), open_at);
      continue;
    }
    const auto slot = *table_.find(r->id);
    (is_left_out(slot, now) ? out.left_out : out.open).push_back(slot);
  }
  // With most of them in trouble the trouble is not theirs, and the few others would be overrun.
  if (out.open.size() < out.left_out.size()) {
    out.open.insert(out.open.end(), out.left_out.begin(), out.left_out.end());
    std::sort(out.open.begin(), out.open.end());
    out.left_out.clear();
  }
  if (wish.lane.endpoints == version_selection::subset::trial) {
    keep_on_trial(wish, out.open);
  }
  return out;
}

void endpoint_pool::keep_on_trial(const endpoint_wish& wish,
                                  std::vector<routing::endpoint_slot>& open) const
{
  const auto score = [&](routing::endpoint_slot slot) {
    return rendezvous_score(wish.lane.trial_seed, table_.at(slot).description.id.value());
  };
  const auto all = serving(wish.service);
  const auto present = std::count_if(all.begin(), all.end(), [&](const endpoint_record* r) {
    return r->version != wish.lane.target;
  });
  const auto wanted =
      static_cast<std::size_t>(std::ceil(wish.lane.target_fraction * static_cast<double>(present)));
  const auto number = std::min(open.size(), std::max<std::size_t>(1, wanted));
  std::sort(open.begin(), open.end(), [&](auto a, auto b) { return score(a) > score(b); });
  open.resize(number);
  std::sort(open.begin(), open.end());
}

std::vector<routing::endpoint_slot>
endpoint_pool::homes_of(const prompt_blocks& prompt, const token_size& size,
                        const std::vector<routing::endpoint_slot>& open, mono_time now)
{
  if (!prompt.shared_key) {
    return {};
  }
  const double busy = own_tokens(size, prompt) / options_.initial_prefill_rate;
  const auto wanted = spread_.homes_of(*prompt.shared_key, busy, live_daemons(), now);
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

routing::no_endpoint endpoint_pool::none_open(const endpoint_wish& wish, mono_time opens_at)
{
  if (const auto& size = wish.size) {
    // It is demand all the same: a fleet that turns calls away is short of endpoints.
    meter_.on_sent(wish.service, own_tokens(*size, split_prompt(wish.prompt)));
  }
  return {.reason = routing::no_endpoint_reason::none_open, .retry_at = opens_at};
}

pool_choice endpoint_pool::choose(const endpoint_wish& wish, mono_time now)
{
  const auto candidates = candidates_for(wish, now);
  if (candidates.open.empty() && candidates.opens_at) {
    return none_open(wish, *candidates.opens_at);
  }
  if (!wish.size && wish.prompt.empty()) {
    return choose_for_plain(wish, candidates.open, now);
  }
  const auto prompt = split_prompt(wish.prompt);
  const auto& blocks = prompt.hashes;
  const auto size = wish.size.value_or(token_size{});
  const auto homes = homes_of(prompt, size, candidates.open, now);
  const routing::request_view request{.blocks = blocks,
                                      .prompt_tokens = static_cast<int>(size.prompt),
                                      .expected_output_tokens = static_cast<int>(size.output),
                                      .target = wish.target,
                                      .deadline = wish.deadline,
                                      .homes = homes,
                                      .home_blocks = prompt.shared};
  const routing::routing_view view{.endpoints = table_, .prefixes = prefixes_, .options = routing_};
  const auto made = routing::choose_endpoint(view, request, candidates.open, now, random_);
  if (const auto* chosen = std::get_if<routing::chosen_endpoint>(&made)) {
    const int prefill = static_cast<int>(size.prompt) - chosen->parts.cached_tokens;
    auto out = take(chosen->slot, prefill, blocks, wish, now);
    out.prefix_source = prefix_source_for(chosen->slot, prompt, candidates.open, now);
    return out;
  }
  const auto& none = std::get<routing::no_endpoint>(made);
  if (candidates.open.empty()) {
    return none;
  }
  if (none.only_queued && wish.may_be_refused) {
    // It is demand all the same: a fleet that turns calls away is short of endpoints.
    meter_.on_sent(wish.service, own_tokens(size, prompt));
    return none;
  }
  // All look too slow for its size, or it may have run: the least bad is tried.
  const auto slot =
      *std::min_element(candidates.open.begin(), candidates.open.end(), [this](auto a, auto b) {
        return std::pair(left_out_until(a), table_.at(a).crowding()) <
               std::pair(left_out_until(b), table_.at(b).crowding());
      });
  return take(slot, static_cast<int>(size.prompt), blocks, wish, now);
}

pool_choice endpoint_pool::choose_for_plain(const endpoint_wish& wish,
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
  const auto best = choose_plain(candidates, random_);
  if (!best) {
    return routing::no_endpoint{};
  }
  return take(open[*best], 0, {}, wish, now);
}

// Endpoints that leave are no source, though they still hold much: one that is gone before it has
// answered holds the prompt up for seconds.
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
  std::vector<prefix_holder> holders;
  for (const auto other : open) {
    if (other != slot) {
      holders.push_back({.id = table_.at(other).description.id, .believed = matched[other]});
    }
  }
  const auto best = likeliest_holder(prompt, holders);
  return best ? std::optional(records_.at(holders[*best].id).address) : std::nullopt;
}

// Counts an attempt at the chosen endpoint.
pooled_endpoint endpoint_pool::take(routing::endpoint_slot slot, int prefill,
                                    std::span<const std::uint64_t> blocks,
                                    const endpoint_wish& wish, mono_time now)
{
  const auto& id = table_.at(slot).description.id;
  terms_.on_sent(id, now);
  prefixes_.on_sent(slot, blocks, now);
  if (wish.size) {
    meter_.on_sent(wish.service, prefill);
  }
  auto& own = own_[id];
  ++own.waiting;
  own.waiting_tokens += static_cast<std::uint64_t>(std::max(0, prefill));
  const auto& record = records_.at(id);
  return {.id = id,
          .incarnation = record.incarnation,
          .version = record.version,
          .address = record.address,
          .work = table_.on_sent(slot, prefill, now)};
}

} // namespace wisteriaflow::gateway
