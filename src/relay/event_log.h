// Log lines of the gateway daemon, with a budget for each kind, so that a flood of one kind neither
// blocks a request nor hides the others.

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

using log_fields = std::vector<std::pair<std::string, std::string>>;

// Not thread-safe.
class event_log {
 public:
  using sink = std::function<bool(daemon::log_line)>; // false: the line was dropped

  // Lines of one kind a second. Forty describe a burst of failures; with twenty kinds the worst
  // case is 800 lines, about 200 KB a second.
  static constexpr std::uint32_t lines_of_a_kind = 40;

  // `queued` tells how many lines wait for the output; without it none do.
  explicit event_log(
      sink out, std::function<std::size_t()> queued = [] { return std::size_t{0}; })
      : out_(std::move(out)), queued_(std::move(queued))
  {
  }

  // Writes a line, or counts it as left out. `kind` is the message; it is one of few.
  void write(daemon::log_level level, std::string_view kind, log_fields fields);

  // Lines left out so far, over a budget or dropped by the output.
  [[nodiscard]] std::uint64_t left_out() const { return left_out_; }

  // Lines that wait for the output.
  [[nodiscard]] std::size_t queued() const { return queued_(); }

 private:
  struct budget {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };

  sink out_;
  std::function<std::size_t()> queued_;
  std::map<std::string, budget, std::less<>> budgets_;
  std::uint64_t left_out_ = 0;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_EVENT_LOG_H_
