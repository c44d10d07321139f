#include "wisteriaflow/gateway/prefix_affinity.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

constexpr std::size_t max_blocks = 256;

double seconds(mono_time::duration d)
{
  return std::chrono::duration<double>(d).count();
}

} // namespace

prompt_blocks split_prompt(std::span<const prompt_part> prompt)
{
  prompt_blocks out;
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    if (i + 1 == prompt.size()) {
      out.shared = static_cast<std::uint32_t>(out.hashes.size());
      out.shared_key = out.shared > 0 ? std::optional(chain) : std::nullopt;
    }
    const auto& part = prompt[i];
    const std::string_view id(reinterpret_cast<const char*>(&part.id), sizeof part.id);
    for (std::uint32_t t = 0; t + tokens_per_block <= part.tokens; t += tokens_per_block) {
      if (out.hashes.size() < max_blocks) {
        out.hashes.push_back(hash64_of(id, chain + t));
        chain = out.hashes.back();
      }
    }
    chain = hash64_of(id, chain);
  }
  return out;
}

double prefix_traffic_meter::decayed_load(const traffic& t, mono_time now) const
{
  return t.busy * std::exp(-seconds(now - t.at) / seconds(options_.time_constant));
}

void prefix_traffic_meter::evict_idle(mono_time now)
{
  constexpr int time_constants = 5; // less than 1% of the load is left then
  std::erase_if(prefixes_, [&](const auto& it) {
    return it.second.at + time_constants * options_.time_constant < now;
  });
  if (prefixes_.size() >= options_.max_prefixes) {
    prefixes_.clear(); // they are measured again within a few requests
  }
}

std::size_t prefix_traffic_meter::affinity_count(std::uint64_t key, double seconds_busy,
                                                 std::size_t daemons, mono_time now)
{
  if (prefixes_.size() >= options_.max_prefixes && !prefixes_.contains(key)) {
    evict_idle(now);
  }
  auto& it = prefixes_[key];
  const double before = decayed_load(it, now);
  it = {.busy = before + seconds_busy / seconds(options_.time_constant), .at = now};
  const double fleet = before * static_cast<double>(daemons);
  return 1 + static_cast<std::size_t>(fleet / options_.max_endpoint_utilization);
}

std::optional<std::size_t> likeliest_holder(const prompt_blocks& prompt,
                                            std::span<const prefix_holder> holders)
{
  if (!prompt.shared_key || holders.empty()) {
    return std::nullopt;
  }
  const auto rank = [&](const prefix_holder& h) {
    return std::pair(std::min(h.blocks_sent, prompt.shared),
                     rendezvous_score(*prompt.shared_key, h.id.value()));
  };
  const auto best =
      std::max_element(holders.begin(), holders.end(),
                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return static_cast<std::size_t>(best - holders.begin());
}

} // namespace wisteriaflow::gateway
