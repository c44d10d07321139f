// When a refused call is told to come back.
//
// When load is at its worst many calls are refused in the same moment. Told the same time, they
// would all come back together, meet the same queue, and be refused again. So each is told a time
// of its own after the one at which there is room: the more urgent ranks come first, and within a
// rank the calls are spread evenly.
//
//   const auto at = return_time({.now = now, .open_at = room_at, .rank = priority}, rng);

#ifndef WISTERIAFLOW_GATEWAY_RETURN_TIME_H_
#define WISTERIAFLOW_GATEWAY_RETURN_TIME_H_

#include <optional>
#include <random>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

struct refused_call {
  mono_time now;
  std::optional<mono_time> open_at; // when there will be room, if that is known
  int rank = 0;                     // 0 is the most urgent

  friend bool operator==(const refused_call&, const refused_call&) = default;
};

// Never before `open_at`, and never in the past.
[[nodiscard]] mono_time return_time(const refused_call& call, std::mt19937_64& rng);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RETURN_TIME_H_
