// Writes log lines on a thread of its own, so that no duty waits for standard output.

#ifndef WISTERIAFLOW_DAEMON_LOG_WRITER_H_
#define WISTERIAFLOW_DAEMON_LOG_WRITER_H_

#include <thread>

#include "wisteriaflow/daemon/bounded_ring.h"
#include "wisteriaflow/daemon/log.h"

namespace wisteriaflow::daemon {

// A full ring drops the line.
class log_writer {
 public:
  log_writer();
  // Writes what is in the ring and ends.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  // Never blocks. Any thread may call it.
  void write(log_line line) { ring_.try_push(std::move(line)); }

 private:
  void run();

  bounded_ring<log_line> ring_;
  std::thread thread_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_LOG_WRITER_H_
