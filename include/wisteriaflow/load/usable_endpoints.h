// Selects the endpoints that one call may use while some endpoints of its service are avoided. The
// sound ones are used up to their capacity. Only what exceeds it goes to avoided endpoints, to one
// at a time in the order of their estimates: used all at once, those that fail at once would
// attract most calls.
//
//   const auto usable = usable_endpoints(candidates, draw);

#ifndef WISTERIAFLOW_LOAD_USABLE_ENDPOINTS_H_
#define WISTERIAFLOW_LOAD_USABLE_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace wisteriaflow::load {

struct usable_candidate {
  bool avoided = false;
  double estimate = 1;         // share of calls that it answers
  std::uint32_t slots = 1;     // calls that it runs concurrently
  std::uint32_t in_flight = 0; // calls of the fleet there, as far as known
};

// Fraction of the slots of the sound endpoints in use above which calls go to avoided ones.
inline constexpr double full_fraction = 0.9;

// Part of the calls for which the sound candidates have no capacity: 0 to 1; 1 if there are none.
[[nodiscard]] double excess_share(std::span<const usable_candidate> candidates);

// Returns the indexes of the candidates that one call may use, in ascending order. `draw` is a
// random number in [0, 1). Empty only if there are no candidates.
[[nodiscard]] std::vector<std::size_t>
usable_endpoints(std::span<const usable_candidate> candidates, double draw);

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_USABLE_ENDPOINTS_H_
