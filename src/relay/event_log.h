// Log lines of the gateway daemon, with a budget for each kind, so that a flood of one kind neither
// blocks a request nor hides the others.

#ifndef WISTERIAFLOW_SRC_RELAY_EVENT_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/daemon/log.h"

namespace wisteriaflow::relay {

using log_fields = std::vector<std::pair<std::string, std::string>>;

// Not thread-safe.
class event_log {
 public:
  using sink = std::function<void(daemon::log_line)>;

  // Lines of one kind a second. Forty describe a burst of failures; with twenty kinds the worst
  // case is 800 lines, about 200 KB a second.
  static constexpr std::uint32_t lines_of_a_kind = 40;

  explicit event_log(sink out) : out_(std::move(out)) {}

  // Writes a line, or counts it as left out. `kind` is the message; it is one of few.
  void write(daemon::log_level level, std::string_view kind, log_fields fields);

 private:
  struct budget {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };

  sink out_;
  std::map<std::string, budget, std::less<>> budgets_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_EVENT_LOG_H_
