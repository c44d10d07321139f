#include "wisteriaflow/membership/address_book.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "membership/score.h"
#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::membership {
namespace {

// The daemons with the highest scores for `key`, the best first.
std::vector<const member*> best_for(std::uint64_t key, std::span<const member* const> daemons)
{
  std::vector<const member*> ranked(daemons.begin(), daemons.end());
  std::ranges::sort(ranked, std::greater{},
                    [key](const member* m) { return internal::pair_score(key, hash_of(m->key)); });
  return ranked;
}

} // namespace

std::size_t address_book::daemons_for(double share, std::size_t daemons) const
{
  const double wished =
      std::ceil(options_.headroom * std::clamp(share, 0.0, 1.0) * static_cast<double>(daemons));
  return std::min(daemons, std::max(options_.fewest_daemons, static_cast<std::size_t>(wished)));
}

address_answer address_book::addresses_for(const address_query& query,
                                           std::span<const member* const> live_daemons,
                                           wall_time now) const
{
  std::vector<const member*> addressed;
  std::ranges::copy_if(live_daemons, std::back_inserter(addressed),
                       [](const member* m) { return !m->attributes.address.empty(); });
  const auto workspace = hash64_of(query.workspace.value());
  auto serving = best_for(workspace, addressed);
  serving.resize(daemons_for(query.share, serving.size()));

  auto chosen = best_for(hash64_of(query.caller, workspace), serving);
  std::stable_partition(chosen.begin(), chosen.end(),
                        [&](const member* m) { return m->attributes.zone == query.zone; });
  // A zone may go whole: the last address is in another one than the first, if there is any.
  if (chosen.size() > options_.addresses) {
    const auto& zone = chosen.front()->attributes.zone;
    const auto last = chosen.begin() + static_cast<std::ptrdiff_t>(options_.addresses) - 1;
    const auto other = std::find_if(chosen.begin() + 1, chosen.end(),
                                    [&](const member* m) { return m->attributes.zone != zone; });
    if (other > last && other != chosen.end()) {
      std::iter_swap(last, other);
    }
    chosen.resize(options_.addresses);
  }
  address_answer answer{.good_until = now + options_.kept_for};
  for (const member* m : chosen) {
    answer.addresses.push_back({.address = m->attributes.address, .zone = m->attributes.zone});
  }
  return answer;
}

} // namespace wisteriaflow::membership
