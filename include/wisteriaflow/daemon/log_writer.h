// Writes log lines on a thread of its own, so that no duty waits for standard output. While nobody
// reads the output, lines are dropped and counted.
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
  // Writes what is in the ring as long as the output takes it, and ends.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  // Never blocks; a full ring drops the line. Returns whether it was kept. Any thread may call it.
  bool write(log_line line)
  {
    const bool kept = ring_.try_push(std::move(line));
    dropped_ += kept ? 0 : 1;
    return kept;
  }

  // Lines that wait for the output.
  [[nodiscard]] std::size_t queued() const { return ring_.size(); }

  // Lines dropped so far.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  void run();
  // Writes one line once the output takes it; drops it if the writer gives up before.
  void write_when_ready(const log_line& line);
  // Whether the writer ends and has waited for the output long enough.
  bool has_given_up();
  void tell_dropped();

  bounded_ring<log_line> ring_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::uint64_t dropped_told_ = 0;      // of the writer's thread
  std::optional<mono_time> give_up_at_; // set once the writer ends
  std::thread thread_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_LOG_WRITER_H_
