#include "wisteriaflow/daemon/log_writer.h"

#include <unistd.h>

#include <chrono>
#include <string>

#include <poll.h>

namespace wisteriaflow::daemon {
namespace {

constexpr std::size_t log_ring_capacity = 4'096; // lines
// The output is looked at so often while nobody reads it; short against the time to end.
constexpr int poll_period_ms = 50;
// What is queued at the end gets this long. A process that drains must end within seconds.
constexpr std::chrono::milliseconds time_to_end{500};

// Whether a line can be written without waiting. A pipe says so while it has room for a page,
// 4,096 bytes, which is more than a line has.
bool takes_a_line(int timeout_ms)
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
    tell_dropped();
  }
}

void log_writer::write_when_ready(const log_line& line)
{
  // Waiting here rather than in the write keeps the thread able to end: joined with a write that
  // nobody reads, the process hung until it was killed.
  while (!has_given_up()) {
    if (takes_a_line(poll_period_ms)) {
      write_log(line);
      return;
    }
  }
  ++dropped_;
}

bool log_writer::has_given_up()
{
  const auto now = std::chrono::steady_clock::now();
  if (!give_up_at_ && ring_.closed()) {
    give_up_at_ = now + time_to_end;
  }
  return give_up_at_ && *give_up_at_ <= now;
}

void log_writer::tell_dropped()
{
  const auto dropped = dropped_.load();
  if (dropped == dropped_told_) {
    return;
  }
  write_when_ready({.level = log_level::warn,
                    .message = "log lines dropped",
                    .fields = {{"lines", std::to_string(dropped - dropped_told_)}}});
  dropped_told_ = dropped;
}

} // namespace wisteriaflow::daemon
