// The duty towards callers: an HTTP server that turns calls into events and actions into responses.

#ifndef WISTERIAFLOW_DAEMON_CALLER_SIDE_H_
#define WISTERIAFLOW_DAEMON_CALLER_SIDE_H_

#include <deque>
#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/daemon/duty_thread.h"
#include "wisteriaflow/daemon/settings.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::daemon {

// Serves callers. Everything that is decided about a call is decided by the core.
class caller_side {
 public:
  // Listens at once; throws http::http_error if it cannot. Serves after start().
  caller_side(const settings& s, std::shared_ptr<event_ring> core);

  void start() { thread_.start(); }
  void stop() { thread_.stop(); }

  // The address listened on.
  [[nodiscard]] http::socket_address address() const { return server_.address(); }
  [[nodiscard]] std::shared_ptr<bounded_ring<core::caller_action>> ring() const
  {
    return thread_.ring();
  }

 private:
  // What the core has sent for one call and its coroutine has not yet written.
  struct mailbox {
    explicit mailbox(boost::asio::io_context& context) : signal(context) {}

    std::deque<core::caller_action> waiting;
    boost::asio::steady_timer signal;
    bool closed_by_peer = false;
  };

  boost::asio::awaitable<void> serve(http::request message, http::response_writer& writer);
  boost::asio::awaitable<void> answer(mailbox& box, http::response_writer& writer);
  void take(core::caller_action a);
  void deliver(core::call_number call, core::caller_action a);

  std::shared_ptr<event_ring> core_;
  duty_thread<core::caller_action> thread_;
  http::server server_;
  std::map<core::call_number, std::shared_ptr<mailbox>> open_;
  core::call_number last_call_ = 0;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_CALLER_SIDE_H_
