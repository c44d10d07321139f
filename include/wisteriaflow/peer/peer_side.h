// The duty towards other daemons: a gRPC server and a client, joined with the core by rings.

#ifndef WISTERIAFLOW_PEER_PEER_SIDE_H_
#define WISTERIAFLOW_PEER_PEER_SIDE_H_

#include <memory>
#include <string>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/daemon/event_sink.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::peer {

// The peers' address cannot be listened on.
class peer_error : public error {
 public:
  using error::error;
};

struct peer_side_options {
  http::socket_address listen;         // port 0: the kernel chooses
  std::size_t message_limit = 8 << 20; // bytes of one message
  std::size_t channel_limit = 32;      // open channels to other daemons
};

// Serves peers and calls them.
class peer_side {
 public:
  // Listens at once. Throws peer_error if it cannot.
  peer_side(peer_side_options options, std::shared_ptr<daemon::event_ring> core);
  ~peer_side();
  peer_side(const peer_side&) = delete;
  peer_side& operator=(const peer_side&) = delete;

  void start();

  // Ends the thread and the server; waiting calls fail.
  void stop();

  [[nodiscard]] http::socket_address address() const;
  [[nodiscard]] std::shared_ptr<daemon::bounded_ring<core::peer_action>> ring() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::peer

#endif // WISTERIAFLOW_PEER_PEER_SIDE_H_
