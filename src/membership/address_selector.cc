#include "wisteriaflow/membership/address_selector.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "membership/score.h"
#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::membership {
namespace {

// Returns the daemons in descending order of their rendezvous score for `key`.
std::vector<const member*> ranked_daemons(std::uint64_t key, std::span<const member* const> daemons)
{
  std::vector<const member*> ranked(daemons.begin(), daemons.end());
  std::ranges::sort(ranked, std::greater{},
                    [key](const member* m) { return internal::pair_score(key, hash_of(m->key)); });
  return ranked;
}

} // namespace

std::size_t address_selector::daemon_count_for(double share, std::size_t daemons) const
{
  const double wanted =
      std::ceil(options_.headroom * std::clamp(share, 0.0, 1.0) * static_cast<double>(daemons));
  return std::min(daemons, std::max(options_.min_daemons, static_cast<std::size_t>(wanted)));
}

address_answer address_selector::addresses_for(const address_query& query,
                                               std::span<const member* const> live_daemons,
                                               wall_time now) const
{
  std::vector<const member*> reachable;
  std::ranges::copy_if(live_daemons, std::back_inserter(reachable),
                       [](const member* m) { return !m->attributes.address.empty(); });
  const auto workspace = hash64_of(query.workspace.value());
  auto candidates = ranked_daemons(workspace, reachable);
  candidates.resize(daemon_count_for(query.share, candidates.size()));

  auto chosen = ranked_daemons(hash64_of(query.caller, workspace), candidates);
  std::stable_partition(chosen.begin(), chosen.end(),
                        [&](const member* m) { return m->attributes.zone == query.zone; });
  // A whole zone may fail: the last address is in another zone than the first, if there is one.
  if (chosen.size() > options_.max_addresses) {
    const auto& zone = chosen.front()->attributes.zone;
    const auto last = chosen.begin() + static_cast<std::ptrdiff_t>(options_.max_addresses) - 1;
    const auto other_zone = std::find_if(chosen.begin() + 1, chosen.end(), [&](const member* m) {
      return m->attributes.zone != zone;
    });
    if (other_zone > last && other_zone != chosen.end()) {
      std::iter_swap(last, other_zone);
    }
    chosen.resize(options_.max_addresses);
  }
  address_answer answer{.valid_until = now + options_.validity};
  for (const member* m : chosen) {
    answer.addresses.push_back({.address = m->attributes.address, .zone = m->attributes.zone});
  }
  return answer;
}

} // namespace wisteriaflow::membership
