// Writes log lines on a separate thread, so that no other thread blocks on standard output. If
// nobody reads the output, lines are dropped and counted.
//
//   log_writer log;
//   log.write({.message = "started", .fields = {{"daemon", id}}});

#ifndef WISTERIAFLOW_DAEMON_LOG_WRITER_H_
#define WISTERIAFLOW_DAEMON_LOG_WRITER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <thread>
#include <utility>

#include "wisteriaflow/daemon/bounded_ring.h"
#include "wisteriaflow/daemon/log.h"

namespace wisteriaflow::daemon {

class log_writer {
 public:
  log_writer();
  // Writes the queued lines and ends the thread. Gives up after 500 ms if the output blocks.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  // Queues a line without blocking. Returns false if the ring was full and the line was dropped.
  // Thread-safe.
  bool write(log_line line)
  {
    const bool pushed = ring_.try_push(std::move(line));
    dropped_ += pushed ? 0 : 1;
    return pushed;
  }

  // The number of lines that are not written yet.
  [[nodiscard]] std::size_t queued() const { return ring_.size(); }

  // The number of lines dropped so far.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  void run();
  // Writes one line as soon as the output accepts it; drops it after the shutdown deadline.
  void write_when_ready(const log_line& line);
  // Whether shutdown has begun and its deadline has passed. Sets the deadline on the first call
  // after the ring was closed.
  bool shutdown_deadline_passed();
  void report_dropped();

  bounded_ring<log_line> ring_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;         // of the writer's thread
  std::optional<mono_time> shutdown_deadline_; // set once the writer ends
  std::thread thread_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_LOG_WRITER_H_
