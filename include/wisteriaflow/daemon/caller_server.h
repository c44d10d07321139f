// HTTP server for callers. Turns calls into events for the core, and the core's actions into
// responses.

#ifndef WISTERIAFLOW_DAEMON_CALLER_SERVER_H_
#define WISTERIAFLOW_DAEMON_CALLER_SERVER_H_

#include <deque>
#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/daemon/io_thread.h"
#include "wisteriaflow/daemon/settings.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::daemon {

// Serves callers. All decisions about a call are made by the core, except for the refusal of a
// call that the core's full ring cannot take.
class caller_server {
 public:
  // Listens on the address in `s`; throws http::http_error if that fails. Serves calls after
  // start().
  caller_server(const settings& s, std::shared_ptr<event_ring> core);

  void start() { thread_.start(); }
  void stop() { thread_.stop(); }

  // The address that the server listens on.
  [[nodiscard]] http::socket_address address() const { return server_.address(); }
  [[nodiscard]] std::shared_ptr<bounded_ring<core::caller_action>> ring() const
  {
    return thread_.ring();
  }

 private:
  // Actions of the core for one call that its coroutine has not written yet.
  struct mailbox {
    explicit mailbox(boost::asio::io_context& context) : changed(context) {}

    std::deque<core::caller_action> pending;
    boost::asio::steady_timer changed;
    bool closed_by_peer = false;
  };

  boost::asio::awaitable<void> serve(http::request message, http::response_writer& writer);
  boost::asio::awaitable<void> write_responses(mailbox& box, http::response_writer& writer);
  void handle_action(core::caller_action a);
  void deliver(core::call_number call, core::caller_action a);

  std::shared_ptr<event_ring> core_;
  io_thread<core::caller_action> thread_;
  http::server server_;
  std::map<core::call_number, std::shared_ptr<mailbox>> open_calls_;
  core::call_number last_call_ = 0;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_CALLER_SERVER_H_
