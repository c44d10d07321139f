#include "wisteriaflow/membership/subsets.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "membership/score.h"

namespace wisteriaflow::membership {
namespace {

std::vector<std::uint64_t> hashes_of(std::span<const member* const> members)
{
  std::vector<std::uint64_t> hashes;
  hashes.reserve(members.size());
  for (const member* m : members) {
    hashes.push_back(hash_of(m->key));
  }
  return hashes;
}

// Whether fewer than `holders` daemons have a higher score for the endpoint than `self`.
bool is_holder(std::uint64_t endpoint, std::uint64_t self, std::size_t holders,
               const std::vector<std::uint64_t>& daemons)
{
  const auto own = internal::pair_score(endpoint, self);
  std::size_t better = 0;
  for (const auto daemon : daemons) {
    better += internal::pair_score(endpoint, daemon) > own ? 1U : 0U;
    if (better >= holders) {
      return false;
    }
  }
  return true;
}

// Selects further endpoints, those with the best scores for the daemon first, until it has
// `wanted`.
void add_best_ranked(std::vector<bool>& selected, std::size_t wanted, std::uint64_t self,
                     const std::vector<std::uint64_t>& endpoints)
{
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (!selected[i]) {
      others.push_back(i);
    }
  }
  std::ranges::sort(others, std::greater{},
                    [&](std::size_t i) { return internal::pair_score(endpoints[i], self); });
  const auto has = endpoints.size() - others.size();
  for (std::size_t i = 0; has + i < wanted && i < others.size(); ++i) {
    selected[others[i]] = true;
  }
}

} // namespace

std::size_t holders_per_endpoint(std::size_t daemons, std::size_t endpoints,
                                 const subset_options& options)
{
  if (daemons == 0 || endpoints <= options.target_size) {
    return daemons;
  }
  const double wanted = static_cast<double>(options.target_size) * static_cast<double>(daemons) /
                        static_cast<double>(endpoints);
  constexpr double steps_per_octave = 4;
  const double stepped =
      std::exp2(std::round(std::log2(wanted) * steps_per_octave) / steps_per_octave);
  const auto rounded = static_cast<std::size_t>(std::lround(stepped));
  return std::min(daemons, std::max(options.min_holders, rounded));
}

std::vector<endpoint_id> subset_of(const daemon_id& self, std::span<const member* const> daemons,
                                   std::span<const member* const> endpoints,
                                   const subset_options& options)
{
  const auto holders = holders_per_endpoint(daemons.size(), endpoints.size(), options);
  const auto daemon_hashes = hashes_of(daemons);
  const auto endpoint_hashes = hashes_of(endpoints);
  const auto own = hash_of({member_kind::daemon, self.value()});
  std::vector<bool> selected(endpoints.size());
  std::size_t n = 0;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    selected[i] = is_holder(endpoint_hashes[i], own, holders, daemon_hashes);
    n += selected[i] ? 1U : 0U;
  }
  if (n < options.min_endpoints) {
    add_best_ranked(selected, options.min_endpoints, own, endpoint_hashes);
  }
  std::vector<endpoint_id> subset;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (selected[i]) {
      subset.emplace_back(endpoints[i]->key.id);
    }
  }
  return subset;
}

} // namespace wisteriaflow::membership
