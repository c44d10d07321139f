// Tells in the log which contents come to be held, and which no longer are, whoever found out.

#ifndef WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_

#include <cstddef>
#include <map>

#include "relay/event_log.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::relay {

using content_holds = std::map<gateway::content_id, gateway::content_hold>;

// Why a content is held.
[[nodiscard]] log_fields fields_of(const gateway::content_id& content,
                                   const gateway::content_hold& hold);

// Not thread-safe.
class hold_log {
 public:
  // Writes what differs from the holds noted before.
  void note(content_holds present, event_log& log);

  [[nodiscard]] std::size_t number() const { return noted_.size(); }

 private:
  content_holds noted_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_
