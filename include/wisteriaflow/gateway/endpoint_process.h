// Identifies one process of an endpoint: an endpoint may terminate and restart under the same id,
// and what was known about the previous process doesn't apply to the new one.
//
//   if (is_restart(known, now)) { ... discard the state of `known` ... }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_PROCESS_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_PROCESS_H_

#include <compare>
#include <cstdint>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

struct endpoint_process {
  endpoint_id id;
  std::uint64_t incarnation = 0; // its start time as in endpoint_record; 0: unknown

  friend auto operator<=>(const endpoint_process&,
                          const endpoint_process&) = default; // NOLINT(modernize-use-nullptr)
};

// Whether `before` and `now` are two different processes of one endpoint; false if the incarnation
// of either is unknown.
[[nodiscard]] inline bool is_restart(const endpoint_process& before, const endpoint_process& now)
{
  const bool both_known = before.incarnation != 0 && now.incarnation != 0;
  return both_known && before.incarnation != now.incarnation;
}

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_PROCESS_H_
