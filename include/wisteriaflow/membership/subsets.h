// Which endpoints a daemon reaches: a deterministic subset, so that connections and load reports a
// daemon stay flat as both fleets grow.
//
// Two-sided rendezvous: every endpoint picks its best daemons, as many as make the mean subset as
// large as wished and never under three, so no endpoint is left out; and a daemon whom too few
// endpoints picked adds those that it ranks best itself. A member that joins or leaves moves only
// the endpoints it holds or is held by.

#ifndef WISTERIAFLOW_MEMBERSHIP_SUBSETS_H_
#define WISTERIAFLOW_MEMBERSHIP_SUBSETS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/membership/member.h"

namespace wisteriaflow::membership {

struct subset_options {
  // Endpoints that a daemon reaches on the mean. A fleet of no more is reached whole.
  std::size_t size = 64;
  // Every endpoint is held by at least this many daemons, if there are as many.
  std::size_t fewest_holders = 3;
  // Every daemon holds at least this many endpoints, if there are as many.
  std::size_t fewest_endpoints = 16;
};

// The endpoints of `endpoints` that `self` reaches, in their order. `daemons` are the live daemons,
// `self` among them. Call it for each model's endpoints apart, so that every daemon reaches some of
// each. Cost: daemons × endpoints of a few nanoseconds.
[[nodiscard]] std::vector<endpoint_id> subset_of(const daemon_id& self,
                                                 std::span<const member* const> daemons,
                                                 std::span<const member* const> endpoints,
                                                 const subset_options& options = {});

// How many daemons hold each endpoint: a quarter-octave step, so that it seldom changes as the
// fleet does.
[[nodiscard]] std::size_t holders_of_each(std::size_t daemons, std::size_t endpoints,
                                          const subset_options& options = {});

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_SUBSETS_H_
