// The work of other daemons at an engine, from reports that are older than much of that work.
//
// Many daemons that see the same old reports all send to the engines that were idle then, and make
// them the busiest ones. The work that is expected now therefore lies between the reported one and
// the mean over the engines of the service.
//
//   const auto now = expected_work(reported, {.sum = all, .engines = 112});

#ifndef WISTERIAFLOW_LOAD_REPORTED_WORK_H_
#define WISTERIAFLOW_LOAD_REPORTED_WORK_H_

#include <cstddef>
#include <cstdint>

#include "wisteriaflow/load/ranked_queue.h"

namespace wisteriaflow::load {

// Calls of other daemons at one engine, or their sum over several engines.
struct reported_work {
  std::uint64_t running = 0;
  ranked_waiting waiting{};

  reported_work& operator+=(const reported_work& other);

  friend bool operator==(const reported_work&, const reported_work&) = default;
};

// The work at all engines of a service.
struct service_work {
  reported_work sum;
  std::size_t engines = 0;
};

// Bounds of the work at one engine.
struct work_limit {
  std::uint32_t calls = 0;
  std::uint64_t tokens = 0;
};

// Returns `reported` with the values of each rank bounded. The mean over all engines counts at each
// of them, so that one absurd report would make the whole service seem busy.
[[nodiscard]] reported_work bounded_work(reported_work reported, const work_limit& limit);

[[nodiscard]] reported_work expected_work(const reported_work& reported, const service_work& all);

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_REPORTED_WORK_H_
