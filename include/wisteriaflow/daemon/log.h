// Structured logs: one JSON object a line on standard output, through log4cxx.
//
// Duties never wait for the output: they hand lines to a bounded ring that a thread of its own
// writes out. A full ring drops the line and counts it.

#ifndef WISTERIAFLOW_DAEMON_LOG_H_
#define WISTERIAFLOW_DAEMON_LOG_H_

#include <string>
#include <utility>
#include <vector>

namespace wisteriaflow::daemon {

// How much a line matters.
enum class log_level { trace, debug, info, warn, error };

// One line: what happened, and the facts with it.
struct log_line {
  log_level level = log_level::info;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Configures the output: JSON lines on standard output, at `level` and above. Call once, at start.
void configure_logging(const std::string& level);

// Writes one line; for the logging thread and for programs that have just one thread.
void write_log(const log_line& line);

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_LOG_H_
