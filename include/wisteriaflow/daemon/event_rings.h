// The queues between the core and the I/O components.

#ifndef WISTERIAFLOW_DAEMON_EVENT_RINGS_H_
#define WISTERIAFLOW_DAEMON_EVENT_RINGS_H_

#include <memory>

#include "wisteriaflow/core/actions.h"
#include "wisteriaflow/core/events.h"
#include "wisteriaflow/daemon/bounded_ring.h"

namespace wisteriaflow::daemon {

// Carries the events of all I/O components to the core.
using event_ring = bounded_ring<core::event>;

// Capacities in messages; enough for a burst of a few seconds at the expected rates.
constexpr std::size_t event_ring_capacity = 16'384;
constexpr std::size_t action_ring_capacity = 16'384;

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_EVENT_RINGS_H_
