// Chooses the endpoints that a daemon connects to: a deterministic subset, so that the number of
// connections and load reports of a daemon stays constant as both fleets grow.
//
// The subset is a two-sided rendezvous hash. Every endpoint selects the daemons with the best
// scores, as many as are needed to give the target mean subset size, and at least three, so that no
// endpoint is left out. A daemon that too few endpoints selected adds the endpoints with the best
// scores for itself. A member that joins or leaves affects only the endpoints in its own subset or
// the daemons that reach it.

#ifndef WISTERIAFLOW_MEMBERSHIP_SUBSETS_H_
#define WISTERIAFLOW_MEMBERSHIP_SUBSETS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/membership/member.h"

namespace wisteriaflow::membership {

struct subset_options {
  // Mean number of endpoints that a daemon reaches. If there are no more endpoints than this, every
  // daemon reaches all of them.
  std::size_t target_size = 64;
  // Every endpoint is in the subset of at least this many daemons, if there are as many.
  std::size_t min_holders = 3;
  // Every daemon has at least this many endpoints in its subset, if there are as many.
  std::size_t min_endpoints = 16;
};

// Returns those of `endpoints` that `self` reaches, in their order. `daemons` are the live daemons,
// including `self`. Call it separately for the endpoints of each model, so that every daemon
// reaches some of each. Cost: a few nanoseconds × daemons × endpoints.
[[nodiscard]] std::vector<endpoint_id> subset_of(const daemon_id& self,
                                                 std::span<const member* const> daemons,
                                                 std::span<const member* const> endpoints,
                                                 const subset_options& options = {});

// Returns how many daemons have each endpoint in their subset. The number is rounded to
// quarter-octave steps, so that it seldom changes as the fleet grows or shrinks.
[[nodiscard]] std::size_t holders_per_endpoint(std::size_t daemons, std::size_t endpoints,
                                               const subset_options& options = {});

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_SUBSETS_H_
