// The daemon: runs the core on one thread and each I/O component on a thread of its own.

#ifndef WISTERIAFLOW_DAEMON_DAEMON_H_
#define WISTERIAFLOW_DAEMON_DAEMON_H_

#include <memory>

#include "wisteriaflow/daemon/settings.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::daemon {

// Runs until request_drain() was called and the drain is complete.
//
//   daemon d(load_settings(path));
//   d.run();          // on this thread, until drained
//   d.request_drain() // from any thread
class daemon {
 public:
  // Binds the listening addresses. Throws http::http_error or peer::peer_error if that fails.
  explicit daemon(const settings& s);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  [[nodiscard]] http::socket_address caller_address() const;
  [[nodiscard]] http::socket_address peer_address() const;

  // Serves on the calling thread; returns once drained.
  void run();

  // Stops accepting work, finishes or hands over running requests, then lets run() return. Any
  // thread may call it.
  void request_drain();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_DAEMON_H_
