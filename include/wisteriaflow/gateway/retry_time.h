// Computes when a refused call should be retried.
//
// Under the highest load many calls are refused at the same moment. If all were given the same
// time, they would return together, find the same queue and be refused again. Therefore each call
// gets its own time after the moment at which capacity is available: more urgent ranks come first,
// and the calls of one rank are spread evenly.
//
//   const auto at = retry_time({.now = now, .available_at = capacity_at, .rank = priority}, rng);

#ifndef WISTERIAFLOW_GATEWAY_RETRY_TIME_H_
#define WISTERIAFLOW_GATEWAY_RETRY_TIME_H_

#include <optional>
#include <random>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

struct refused_call {
  mono_time now;
  std::optional<mono_time> available_at; // when capacity becomes available, if known
  int rank = 0;                          // 0 is the most urgent

  friend bool operator==(const refused_call&, const refused_call&) = default;
};

// Returns a time in the future and never before `call.available_at`.
[[nodiscard]] mono_time retry_time(const refused_call& call, std::mt19937_64& rng);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RETRY_TIME_H_
