// Structured logs: one JSON object per line on standard output, written by log4cxx.
//
// write_log() can block on the output. Threads that must not block use log_writer, which queues
// lines for a separate thread, and drops and counts them if its queue is full.

#ifndef WISTERIAFLOW_DAEMON_LOG_H_
#define WISTERIAFLOW_DAEMON_LOG_H_

#include <string>
#include <utility>
#include <vector>

namespace wisteriaflow::daemon {

// Severity of a line.
enum class log_level { trace, debug, info, warn, error };

// One log line: a message, and fields with the details.
struct log_line {
  log_level level = log_level::info;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Sets up JSON output on standard output for lines of `level` and above. Call once at start.
void configure_logging(const std::string& level);

// Writes one line. For the thread of log_writer and for single-threaded programs.
void write_log(const log_line& line);

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_LOG_H_
