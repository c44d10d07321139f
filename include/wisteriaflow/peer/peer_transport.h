// Communication with other daemons: a gRPC server and a gRPC client that exchange events and
// actions with the core through ring buffers.

#ifndef WISTERIAFLOW_PEER_PEER_TRANSPORT_H_
#define WISTERIAFLOW_PEER_PEER_TRANSPORT_H_

#include <memory>
#include <string>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/daemon/event_rings.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::peer {

// The server cannot listen on the peer address.
class peer_error : public error {
 public:
  using error::error;
};

struct peer_transport_options {
  http::socket_address listen;         // port 0: chosen by the kernel
  std::size_t message_limit = 8 << 20; // maximum size of one message in bytes
  std::size_t channel_limit = 32;      // maximum number of open channels to other daemons
};

// Serves calls from other daemons and sends calls to them.
class peer_transport {
 public:
  // Starts to listen at once. Throws peer_error if that fails.
  peer_transport(peer_transport_options options, std::shared_ptr<daemon::event_ring> core);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // Starts the thread that carries out the core's actions.
  void start();

  // Ends the thread and the server; pending calls fail.
  void stop();

  // The address that the server listens on, with the actual port.
  [[nodiscard]] http::socket_address address() const;
  // The core pushes its actions into this ring.
  [[nodiscard]] std::shared_ptr<daemon::bounded_ring<core::peer_action>> ring() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::peer

#endif // WISTERIAFLOW_PEER_PEER_TRANSPORT_H_
