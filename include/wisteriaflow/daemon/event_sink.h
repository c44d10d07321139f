// The rings that join the core with the other duties.

#ifndef WISTERIAFLOW_DAEMON_EVENT_SINK_H_
#define WISTERIAFLOW_DAEMON_EVENT_SINK_H_

#include <memory>

#include "wisteriaflow/core/actions.h"
#include "wisteriaflow/core/events.h"
#include "wisteriaflow/daemon/bounded_ring.h"

namespace wisteriaflow::daemon {

// Towards the core, from every duty.
using event_ring = bounded_ring<core::event>;

// Messages each ring holds. A burst of a few seconds at the planned rates fits.
constexpr std::size_t event_ring_capacity = 16'384;
constexpr std::size_t action_ring_capacity = 16'384;

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_EVENT_SINK_H_
