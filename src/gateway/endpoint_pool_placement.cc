// endpoint_pool's inputs to the placement by rank and size; see endpoint_pool_choice.cc for the
// choice.

#include <algorithm>

#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/load/kv_memory.h"

namespace wisteriaflow::gateway {
namespace {

bool places_by_size(const selection_criteria& criteria)
{
  return criteria.rank.has_value() || criteria.kv_tokens > 0;
}

double tokens_after_shared(const token_size& size, const prompt_blocks& prompt)
{
  return std::max(0.0, static_cast<double>(size.prompt) -
                           static_cast<double>(prompt.shared) * tokens_per_block);
}

} // namespace

token_size believed_size(const selection_criteria& criteria)
{
  const auto stated = criteria.size.value_or(token_size{});
  const auto size =
      load::bounded_size({.prompt = stated.prompt, .output = stated.output}, criteria.kv_tokens);
  return {.prompt = size.prompt, .output = size.output};
}

load::placed_prompt endpoint_pool::placed_prompt_at(routing::endpoint_slot slot,
                                                    double own_tokens) const
{
  return {.own_seconds = own_tokens / table_.at(slot).prefill_rate.value()};
}

load::placement_engine endpoint_pool::placement_engine_of(routing::endpoint_slot slot,
                                                          bool is_own) const
{
  const auto& endpoint = table_.at(slot);
  return {.is_own = is_own,
          .long_seconds =
              static_cast<double>(endpoint.own_long_tokens) / endpoint.prefill_rate.value()};
}

endpoint_pool::placement endpoint_pool::place(const selection_criteria& criteria,
                                              const token_size& size, const prompt_blocks& prompt,
                                              const std::vector<routing::endpoint_slot>& open) const
{
  if (!places_by_size(criteria)) {
    return {};
  }
  placement out{.own_tokens = tokens_after_shared(size, prompt),
                .own = std::vector<bool>(open.size())};
  out.hints.reserve(open.size());
  bool has_long = false;
  for (const auto slot : open) {
    const auto& endpoint = table_.at(slot);
    const double rate = endpoint.prefill_rate.value();
    const load::placed_prompt placed{.own_seconds = out.own_tokens / rate};
    const load::kv_memory memory{.resident = endpoint.own_resident_tokens +
                                             endpoint.report.others_resident_tokens,
                                 .capacity = criteria.kv_tokens};
    has_long = has_long || placed.is_long();
    out.hints.push_back(
        {.penalty_seconds = load::penalty_seconds(
             placed, {.long_seconds = static_cast<double>(endpoint.own_long_tokens) / rate}),
         .overflows_memory = load::overflows(memory, size.prompt + size.output)});
  }
  if (has_long) {
    out.own = affinity_.own_engines(open);
    for (std::size_t i = 0; i < open.size(); ++i) {
      if (out.own[i]) {
        out.hints[i].penalty_seconds = load::penalty_seconds(
            placed_prompt_at(open[i], out.own_tokens), placement_engine_of(open[i], true));
      }
    }
  }
  return out;
}

std::optional<load::choice_reason>
endpoint_pool::reason_of(const placement& known, const routing::chosen_endpoint& chosen,
                         const std::vector<routing::endpoint_slot>& open) const
{
  if (known.hints.empty()) {
    return std::nullopt;
  }
  const auto at = std::find(open.begin(), open.end(), chosen.slot) - open.begin();
  const bool is_own = known.own[static_cast<std::size_t>(at)];
  return load::reason_of(placed_prompt_at(chosen.slot, known.own_tokens),
                         placement_engine_of(chosen.slot, is_own), chosen.parts.cached_tokens);
}

routing::attempt_traits endpoint_pool::traits_of(const selection_criteria& criteria,
                                                 routing::endpoint_slot slot, int prefill) const
{
  const auto size = believed_size(criteria);
  return {.rank = criteria.rank.value_or(load::rank_class::urgent),
          .is_long = placed_prompt_at(slot, prefill).is_long(),
          .resident_tokens = criteria.kv_tokens > 0 ? size.prompt + size.output : 0};
}

} // namespace wisteriaflow::gateway
