// The fleet of gateway daemons as one of them sees it, for what is divided among them.

#ifndef WISTERIAFLOW_GATEWAY_FLEET_VIEW_H_
#define WISTERIAFLOW_GATEWAY_FLEET_VIEW_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "wisteriaflow/base/ids.h"

namespace wisteriaflow::gateway {

struct fleet_view {
  std::vector<daemon_id> candidates; // that stay and may be given a part, without this daemon
  std::size_t heard = 1;             // daemons that this one hears, and it; leaving ones, too
  std::size_t running = 1;           // those that may be admitting, heard or not
  bool leaving = false;              // this daemon

  // The part of what belongs to the whole fleet that those who hear each other may give away: so
  // two sides of a cut together give away no more than there is.
  [[nodiscard]] double heard_part() const
  {
    const auto all = static_cast<double>(std::max(heard, running));
    return static_cast<double>(heard) / all;
  }

  friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_FLEET_VIEW_H_
