#include "wisteriaflow/gateway/fleet_groups.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <functional>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

constexpr std::uint64_t group_seed = 2; // groups are independent of other uses of the ids' hashes

std::vector<daemon_id> best_ranked(std::uint64_t key, std::size_t number,
                                   const std::vector<daemon_id>& daemons)
{
  std::vector<std::pair<std::uint64_t, const daemon_id*>> ranked;
  ranked.reserve(daemons.size());
  for (const auto& id : daemons) {
    ranked.emplace_back(rendezvous_score(key, id.value()), &id);
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(number, ranked.size()));
  std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
  std::vector<daemon_id> out;
  for (auto it = ranked.begin(); it != end; ++it) {
    out.push_back(*it->second);
  }
  return out;
}

} // namespace

fleet_groups::fleet_groups(fleet_groups_options options, const std::vector<daemon_id>& daemons)
    : options_(options)
{
  if (daemons.size() <= options.max_direct_daemons) {
    return;
  }
  // A power of two, so that the groups seldom change with the number of daemons.
  const auto groups = std::bit_floor(std::max<std::size_t>(1, daemons.size() / options.group_size));
  for (std::size_t group = 0; group < groups; ++group) {
    relays_.push_back(
        best_ranked(hash64_of("group relays", group), options.relays_per_group, daemons));
  }
}

bool fleet_groups::is_relay(const daemon_id& id) const
{
  return std::any_of(relays_.begin(), relays_.end(), [&id](const auto& of_group) {
    return std::find(of_group.begin(), of_group.end(), id) != of_group.end();
  });
}

const std::vector<daemon_id>& fleet_groups::relays_of(const daemon_id& member) const
{
  static const std::vector<daemon_id> none;
  return empty() ? none : relays_[hash64_of(member.value(), group_seed) % relays_.size()];
}

} // namespace wisteriaflow::gateway
