// Counts of calls in flight at an endpoint, from one or more daemons, as exchanged between daemons.

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

struct endpoint_work {
  std::uint32_t waiting = 0; // calls without any byte of an answer yet
  std::uint32_t running = 0;
  // Prompt tokens of the waiting calls that are still to be computed. Prompt sizes differ by a
  // factor of a hundred: from the number of calls alone, a daemon would mistake a peer's 40,000
  // tokens for an average prompt and queue behind it.
  std::uint64_t waiting_tokens = 0;
  // Number of daemons that recently could not reach it.
  std::uint32_t unreachable = 0;

  friend bool operator==(const endpoint_work&, const endpoint_work&) = default;
};

using endpoint_work_map = std::map<endpoint_id, endpoint_work>;

// The `max_count` entries of `work` that are most important to peers: unreachable endpoints first,
// then those with the most waiting tokens.
[[nodiscard]] endpoint_work_map top_endpoints(endpoint_work_map work, std::size_t max_count);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_
