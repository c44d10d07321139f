// The gateway daemon: forwards opaque HTTP calls to endpoints, on one thread.
//
//   relay::gateway_daemon d(relay::load_settings(path), {.write = write, .queued = queued});
//   d.run(); // returns when the drain that SIGTERM, SIGINT or drain() starts has ended

#ifndef WISTERIAFLOW_RELAY_GATEWAY_DAEMON_H_
#define WISTERIAFLOW_RELAY_GATEWAY_DAEMON_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "wisteriaflow/daemon/log.h"
#include "wisteriaflow/relay/settings.h"

namespace wisteriaflow::relay {

// Receives the daemon's log lines. Neither function may block.
struct log_output {
  std::function<bool(daemon::log_line)> write; // returns false if the line was dropped
  std::function<std::size_t()> queued;         // number of lines not yet written
};

// A gateway daemon with its listeners. All member functions but drain() belong to one thread.
class gateway_daemon {
 public:
  // Binds all listening addresses; throws http_error if one of them cannot be bound.
  gateway_daemon(const settings& s, log_output log);
  ~gateway_daemon();
  gateway_daemon(const gateway_daemon&) = delete;
  gateway_daemon& operator=(const gateway_daemon&) = delete;

  // Serves calls until a drain has ended.
  void run();

  // Starts a drain: reports not ready, asks callers to use other daemons and finishes the calls in
  // progress. Thread-safe.
  void drain();

  // The bound address for callers; if the settings gave port 0, with the port that the kernel
  // chose.
  [[nodiscard]] http::socket_address caller_address() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_RELAY_GATEWAY_DAEMON_H_
