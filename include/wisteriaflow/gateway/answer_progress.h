// How far an endpoint has come with the answer to one request.

#ifndef WISTERIAFLOW_GATEWAY_ANSWER_PROGRESS_H_
#define WISTERIAFLOW_GATEWAY_ANSWER_PROGRESS_H_

#include <chrono>
#include <cstdint>
#include <limits>

namespace wisteriaflow::gateway {

struct answer_progress {
  // Position of an answer that goes on at a point that is not known.
  static constexpr std::uint32_t unknown_position = std::numeric_limits<std::uint32_t>::max();

  std::uint32_t position = 0;        // the id of the last event, or the number of events
  std::chrono::milliseconds time{0}; // since the first event

  [[nodiscard]] bool is_known() const { return position != unknown_position; }

  friend bool operator==(const answer_progress&, const answer_progress&) = default;
};

// The further of both in each respect.
[[nodiscard]] answer_progress furthest_of(const answer_progress& a, const answer_progress& b);

// Whether `a` is further than `b` in both respects, beyond what two runs of one request differ by,
// and what an endpoint had written when it ended without its reader having received it.
[[nodiscard]] bool is_further(const answer_progress& a, const answer_progress& b);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ANSWER_PROGRESS_H_
