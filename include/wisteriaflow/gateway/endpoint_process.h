// One start of an endpoint: an endpoint may end and start again under the id that it had.

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_PROCESS_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_PROCESS_H_

#include <compare>
#include <cstdint>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

struct endpoint_process {
  endpoint_id id;
  std::uint64_t incarnation = 0; // when it started, as endpoint_record tells it; 0: not told

  friend auto operator<=>(const endpoint_process&,
                          const endpoint_process&) = default; // NOLINT(modernize-use-nullptr)
};

// Whether they are two processes, one started after the other, of one endpoint.
[[nodiscard]] inline bool is_restart(const endpoint_process& before, const endpoint_process& now)
{
  const bool told = before.incarnation != 0 && now.incarnation != 0;
  return told && before.incarnation != now.incarnation;
}

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_PROCESS_H_
