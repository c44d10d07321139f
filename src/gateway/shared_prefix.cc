#include "wisteriaflow/gateway/shared_prefix.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

constexpr std::size_t most_blocks = 256;

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
      if (out.hashes.size() < most_blocks) {
        out.hashes.push_back(hash64_of(id, chain + t));
        chain = out.hashes.back();
      }
    }
    chain = hash64_of(id, chain);
  }
  return out;
}

double prefix_spread::faded(const traffic& t, mono_time now) const
{
  return t.busy * std::exp(-seconds(now - t.at) / seconds(options_.memory));
}

void prefix_spread::forget_quiet(mono_time now)
{
  constexpr int memories = 5; // after which less than 1% is left
  std::erase_if(prefixes_,
                [&](const auto& it) { return it.second.at + memories * options_.memory < now; });
  if (prefixes_.size() >= options_.most_prefixes) {
    prefixes_.clear(); // measured again within a few requests
  }
}

std::size_t prefix_spread::homes_of(std::uint64_t key, double seconds_busy, std::size_t daemons,
                                    mono_time now)
{
  if (prefixes_.size() >= options_.most_prefixes && !prefixes_.contains(key)) {
    forget_quiet(now);
  }
  auto& it = prefixes_[key];
  const double before = faded(it, now);
  it = {.busy = before + seconds_busy / seconds(options_.memory), .at = now};
  const double fleet = before * static_cast<double>(daemons);
  return 1 + static_cast<std::size_t>(fleet / options_.busy_limit);
}

std::optional<std::size_t> likeliest_holder(const prompt_blocks& prompt,
                                            std::span<const prefix_holder> holders)
{
  if (!prompt.shared_key || holders.empty()) {
    return std::nullopt;
  }
  const auto rank = [&](const prefix_holder& h) {
    return std::pair(std::min(h.believed, prompt.shared),
                     rendezvous_score(*prompt.shared_key, h.id.value()));
  };
  const auto best =
      std::max_element(holders.begin(), holders.end(),
                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return static_cast<std::size_t>(best - holders.begin());
}

} // namespace wisteriaflow::gateway
