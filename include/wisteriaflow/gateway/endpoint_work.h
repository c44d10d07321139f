// Calls of one or more daemons at an endpoint, as daemons count and tell them.

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

struct endpoint_work {
  std::uint32_t waiting = 0; // no byte of an answer yet
  std::uint32_t running = 0;
  // Prompt tokens of those that wait, to be computed. Prompts differ by a factor of a hundred: with
  // the number alone a daemon takes a peer's 40,000 tokens for an average prompt and queues behind.
  std::uint64_t waiting_tokens = 0;
  // Daemons that found nobody at its address a short time ago.
  std::uint32_t unreachable = 0;

  friend bool operator==(const endpoint_work&, const endpoint_work&) = default;
};

using endpoint_work_map = std::map<endpoint_id, endpoint_work>;

// The `most` endpoints of `work` that a peer should know of first: those at which nobody is found,
// then those where the most waits.
[[nodiscard]] endpoint_work_map most_of(endpoint_work_map work, std::size_t most);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_
