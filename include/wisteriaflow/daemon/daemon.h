// One daemon: the core on a thread of its own, and a thread for each duty around it.

#ifndef WISTERIAFLOW_DAEMON_DAEMON_H_
#define WISTERIAFLOW_DAEMON_DAEMON_H_

#include <memory>

#include "wisteriaflow/daemon/settings.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::daemon {

// Runs until it is told to drain and has drained.
//
//   daemon d(load_settings(path));
//   d.run();          // on this thread, until drained
//   d.request_drain() // from any thread
class daemon {
 public:
  // Binds its addresses at once. Throws http::http_error or peer::peer_error if it cannot.
  explicit daemon(const settings& s);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  [[nodiscard]] http::socket_address caller_address() const;
  [[nodiscard]] http::socket_address peer_address() const;

  // Serves; returns once drained.
  void run();

  // Takes no new work, finishes or hands over the rest, then lets run() return.
  void request_drain();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_DAEMON_H_
