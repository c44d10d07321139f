// Log of the gateway daemon. Lines are limited per message text, so that a flood of one message
// neither blocks a request nor hides the other messages.
//
//   event_log log([&](daemon::log_line line) { return output.push(std::move(line)); });
//   log.write(daemon::log_level::warn, "endpoint left out", {{"endpoint", id}});

#ifndef WISTERIAFLOW_SRC_RELAY_EVENT_LOG_H_
#define WISTERIAFLOW_SRC_RELAY_EVENT_LOG_H_

#include <cstddef>
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

// Names and values of a line's fields, in the order in which they are written.
using log_fields = std::vector<std::pair<std::string, std::string>>;

// Writes log lines to a sink. Not thread-safe.
class event_log {
 public:
  using sink = std::function<bool(daemon::log_line)>; // false: the line was dropped

  // Limit for the lines with one message in a second. 40 lines describe a burst of failures. With
  // 20 messages the worst case is 800 lines, about 200 KB, in a second.
  static constexpr std::uint32_t max_lines_per_second = 40;

  // `queued_lines` returns the number of lines that the sink has not written yet; the default is
  // for sinks without a queue.
  explicit event_log(
      sink out, std::function<std::size_t()> queued_lines = [] { return std::size_t{0}; })
      : sink_(std::move(out)), queued_lines_(std::move(queued_lines))
  {
  }

  // Writes a line, or counts it as dropped. `kind` is the message. It must be one of a small fixed
  // set, since a budget is kept for each. A line that follows dropped ones has a field with their
  // number.
  void write(daemon::log_level level, std::string_view kind, log_fields fields);

  // Number of lines dropped so far, over the limit or by the sink.
  [[nodiscard]] std::uint64_t dropped_lines() const { return dropped_lines_; }

  // Number of lines that the sink has not written yet.
  [[nodiscard]] std::size_t queued_lines() const { return queued_lines_(); }

 private:
  struct line_budget {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
  };

  sink sink_;
  std::function<std::size_t()> queued_lines_;
  std::map<std::string, line_budget, std::less<>> budgets_;
  std::uint64_t dropped_lines_ = 0;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_EVENT_LOG_H_
