// Chooses an endpoint for a call to a plain service.
//
// Such a service has a few endpoints, each with a few places for concurrent calls, up to hundreds
// of daemons that call them, and calls of some tens of milliseconds. The work reports of peers are
// up to a second old: daemons that relied on them would all choose the endpoint that was idle then,
// and it would refuse them. Therefore a daemon only uses the number of its own calls, which it
// knows exactly, and draws at random among equals. With many daemons, nearly all without a call in
// flight, that is a uniform draw; with two daemons it is the shorter queue; and an endpoint that
// becomes slow keeps its calls longer and gets fewer.
//
//   const auto best = choose_least_loaded(candidates, rng);

#ifndef WISTERIAFLOW_GATEWAY_LEAST_LOADED_CHOICE_H_
#define WISTERIAFLOW_GATEWAY_LEAST_LOADED_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace wisteriaflow::gateway {

// An endpoint that a call may be sent to.
struct plain_candidate {
  std::uint32_t own_calls = 0; // calls from this daemon without a complete answer yet
  std::uint32_t places = 1;    // calls that it runs concurrently

  friend bool operator==(const plain_candidate&, const plain_candidate&) = default;
};

// Index of the candidate with the fewest own calls per place; nothing if there are no candidates.
[[nodiscard]] std::optional<std::size_t>
choose_least_loaded(std::span<const plain_candidate> candidates, std::mt19937_64& rng);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_LEAST_LOADED_CHOICE_H_
