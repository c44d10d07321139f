// The gateway daemon: forwards opaque HTTP calls to endpoints, on one thread.
//
//   relay::gateway_daemon d(relay::load_settings(path));
//   d.run(); // until SIGTERM or SIGINT and the drain after it

#ifndef WISTERIAFLOW_RELAY_GATEWAY_DAEMON_H_
#define WISTERIAFLOW_RELAY_GATEWAY_DAEMON_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "wisteriaflow/daemon/log.h"
#include "wisteriaflow/relay/settings.h"

namespace wisteriaflow::relay {

// Where a daemon's log lines go. Neither call may block.
struct log_output {
  std::function<bool(daemon::log_line)> write; // false: the line was dropped
  std::function<std::size_t()> queued;         // lines that wait for the output
};

class gateway_daemon {
 public:
  // Listens at once; throws http_error if an address cannot be bound.
  gateway_daemon(const settings& s, log_output log);
  ~gateway_daemon();
  gateway_daemon(const gateway_daemon&) = delete;
  gateway_daemon& operator=(const gateway_daemon&) = delete;

  // Serves until a drain has ended.
  void run();

  // Begins the drain: callers are told to go elsewhere, calls under way are finished. Any thread
  // may call it.
  void drain();

  // Addresses as bound, with the ports that the kernel chose.
  [[nodiscard]] http::socket_address caller_address() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_RELAY_GATEWAY_DAEMON_H_
