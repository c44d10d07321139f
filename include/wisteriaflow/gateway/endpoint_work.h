// Counts of calls in flight at an endpoint, from one or more daemons, as exchanged between daemons.

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/load/ranked_queue.h"
#include "wisteriaflow/load/reported_work.h"

namespace wisteriaflow::gateway {

struct endpoint_work {
  std::uint32_t waiting = 0; // calls without any byte of an answer yet
  std::uint32_t running = 0;
  // Prompt tokens of the waiting calls that are still to be computed. Prompt sizes differ by a
  // factor of a hundred: from the number of calls alone, a daemon would mistake a peer's 40,000
  // tokens for an average prompt and queue behind it.
  std::uint64_t waiting_tokens = 0;
  // The part of `waiting` and `waiting_tokens` that is of less urgent classes. The rest is urgent
  // or of unknown rank, as from a daemon of an earlier version, and counts as urgent.
  load::waiting_calls normal;
  load::waiting_calls deferrable;
  // Tokens of all these calls in the KV memory of a model engine: prompts and expected outputs.
  std::uint64_t resident_tokens = 0;
  // Number of daemons that recently could not reach it.
  std::uint32_t unreachable = 0;

  [[nodiscard]] load::reported_work by_rank() const;

  // A call of class `rank` with `tokens` prompt tokens to be computed starts or ends to wait.
  void add_waiting(load::rank_class rank, std::uint64_t tokens);
  void remove_waiting(load::rank_class rank, std::uint64_t tokens);

  endpoint_work& operator+=(const endpoint_work& other);
  // Subtracts work that was added before.
  endpoint_work& operator-=(const endpoint_work& other);

  friend bool operator==(const endpoint_work&, const endpoint_work&) = default;

 private:
  // The part that is stated for `rank`; null for the most urgent class, which is the rest.
  [[nodiscard]] load::waiting_calls* part_of(load::rank_class rank);
};

using endpoint_work_map = std::map<endpoint_id, endpoint_work>;

// The `max_count` entries of `work` that are most important to peers: unreachable endpoints first,
// then those with the most waiting tokens.
[[nodiscard]] endpoint_work_map top_endpoints(endpoint_work_map work, std::size_t max_count);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_WORK_H_
