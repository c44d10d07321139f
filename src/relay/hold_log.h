// Logs which contents are put on hold and which holds end, no matter which daemon detected it.

#ifndef WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_

#include <cstddef>
#include <map>

#include "relay/event_log.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::relay {

// The holds in force, by content.
using content_holds = std::map<gateway::content_id, gateway::content_hold>;

// The log fields of a hold: the content, the endpoints that ended, and from when a probe is
// allowed.
[[nodiscard]] log_fields hold_log_fields(const gateway::content_id& content,
                                         const gateway::content_hold& hold);

// Remembers the holds that were logged. Not thread-safe.
class hold_log {
 public:
  // Logs the differences between `present` and the holds of the call before.
  void log_changes(content_holds present, event_log& log);

  // Number of holds in the last call of log_changes().
  [[nodiscard]] std::size_t size() const { return logged_.size(); }

 private:
  content_holds logged_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_
