#include "wisteriaflow/daemon/log_writer.h"

#include <unistd.h>

#include <chrono>
#include <string>

#include <poll.h>

namespace wisteriaflow::daemon {
namespace {

constexpr std::size_t log_ring_capacity = 4'096; // lines
// Interval at which a blocked output is checked; short compared with shutdown_timeout.
constexpr int poll_period_ms = 50;
// Time to write the queued lines at shutdown. A draining process must end within seconds.
constexpr std::chrono::milliseconds shutdown_timeout{500};

// Whether a line can be written without blocking, within `timeout_ms`. A pipe is writable while it
// has room for a page of 4,096 bytes, which is more than a line has.
bool can_write_line(int timeout_ms)
{
  pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  return poll(&output, 1, timeout_ms) == 1;
}

} // namespace

log_writer::log_writer() : ring_(log_ring_capacity), thread_([this] { run(); }) {}

log_writer::~log_writer()
{
  ring_.close();
  thread_.join();
}

void log_writer::run()
{
  for (bool open = true; open;) {
    open = !ring_.closed();
    for (const auto& line : ring_.wait_pop_all(mono_time::max())) {
      write_when_ready(line);
    }
    report_dropped();
  }
}

void log_writer::write_when_ready(const log_line& line)
{
  // Waits for the output here, because a blocked write cannot be interrupted: when nobody read the
  // output, joining this thread hung and the process had to be killed.
  while (!shutdown_deadline_passed()) {
    if (can_write_line(poll_period_ms)) {
      write_log(line);
      return;
    }
  }
  ++dropped_;
}

bool log_writer::shutdown_deadline_passed()
{
  const auto now = std::chrono::steady_clock::now();
  if (!shutdown_deadline_ && ring_.closed()) {
    shutdown_deadline_ = now + shutdown_timeout;
  }
  return shutdown_deadline_ && *shutdown_deadline_ <= now;
}

void log_writer::report_dropped()
{
  const auto dropped = dropped_.load();
  if (dropped == reported_dropped_) {
    return;
  }
  write_when_ready({.level = log_level::warn,
                    .message = "log lines dropped",
                    .fields = {{"lines", std::to_string(dropped - reported_dropped_)}}});
  reported_dropped_ = dropped;
}

} // namespace wisteriaflow::daemon
