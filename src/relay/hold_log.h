// Logs which contents and parts of prompts are put on hold and which holds end, no matter which
// daemon detected it.

#ifndef WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_

#include <cstddef>
#include <optional>

#include "relay/event_log.h"
#include "wisteriaflow/gateway/crash_suspects.h"
#include "wisteriaflow/gateway/running_answers.h"

namespace wisteriaflow::relay {

// The log field that names a suspect: "content" or "prompt_part".
[[nodiscard]] log_fields suspect_log_fields(const gateway::crash_suspect& suspect);

// The log fields of a hold: what is held, the endpoints that ended, within which time they did, and
// from when a probe is allowed; of a content also how many of this daemon's calls run with it, and
// how far the furthest of them is.
[[nodiscard]] log_fields hold_log_fields(const gateway::crash_suspect& suspect,
                                         const gateway::crash_hold& hold,
                                         const gateway::running_answers& running);

// The log fields of calls that run with a content which was held, and whether it still is.
[[nodiscard]] log_fields running_log_fields(const gateway::content_id& content,
                                            const std::optional<gateway::crash_hold>& hold,
                                            const gateway::running_answers& running);

// Remembers the holds that were logged. Not thread-safe.
class hold_log {
 public:
  // Logs the differences between `present` and the holds of the call before.
  void log_changes(gateway::crash_holds present, const gateway::running_answers& running,
                   event_log& log);

  // Numbers of contents and of parts that were held in the last call of log_changes().
  [[nodiscard]] std::size_t contents() const { return logged_.size() - prompt_parts(); }
  [[nodiscard]] std::size_t prompt_parts() const;

 private:
  gateway::crash_holds logged_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_HOLD_LOG_H_
