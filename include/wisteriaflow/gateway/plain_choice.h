// The choice of an endpoint for a call to a plain service.
//
// Such a service has a few endpoints with a few places, before them up to hundreds of daemons, and
// its calls last some tens of milliseconds. What peers tell of their work is up to a second old:
// daemons that follow it all run to the endpoint that was idle then, and it turns them away. So a
// daemon goes by its own calls alone, which it knows exactly, and draws among equals: with many
// daemons, nearly all without a call of their own, that is a fair draw; with two it is the shorter
// queue; and an endpoint that turns slow keeps its calls longer and gets fewer.
//
//   const auto best = choose_plain(candidates, rng);

#ifndef WISTERIAFLOW_GATEWAY_PLAIN_CHOICE_H_
#define WISTERIAFLOW_GATEWAY_PLAIN_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace wisteriaflow::gateway {

// An endpoint that a call may be sent to.
struct plain_candidate {
  std::uint32_t own_calls = 0; // of this daemon, without a whole answer yet
  std::uint32_t places = 1;    // calls that it runs at once

  friend bool operator==(const plain_candidate&, const plain_candidate&) = default;
};

// Index of the candidate with the fewest own calls for a place; nothing if there are none.
[[nodiscard]] std::optional<std::size_t> choose_plain(std::span<const plain_candidate> candidates,
                                                      std::mt19937_64& rng);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PLAIN_CHOICE_H_
