// Logs what a daemon waits for before callers may use it, and when it has all of it.

#ifndef WISTERIAFLOW_SRC_RELAY_START_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_START_LOG_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/event_log.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Remembers what was logged. Not thread-safe.
class start_log {
 public:
  // `started_at` is the start of the process.
  explicit start_log(mono_time started_at) : started_at_(started_at) {}

  // Logs a line if `missing` differs from that of the call before, or was logged a while ago.
  // Empty: nothing is missing.
  void update(const std::vector<std::string_view>& missing, mono_time now, event_log& log);

 private:
  mono_time started_at_;
  std::optional<std::string> logged_; // what was missing in the last line
  mono_time repeat_at_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_START_LOG_H_
