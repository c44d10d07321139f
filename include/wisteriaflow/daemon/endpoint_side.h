// The duty towards endpoints: an HTTP client that runs the core's attempts and load polls.

#ifndef WISTERIAFLOW_DAEMON_ENDPOINT_SIDE_H_
#define WISTERIAFLOW_DAEMON_ENDPOINT_SIDE_H_

#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/daemon/duty_thread.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::daemon {

// Runs exchanges with endpoints. An exchange ends with exactly one of ended and failed, or with
// nothing after the core cancelled it.
class endpoint_side {
 public:
  explicit endpoint_side(std::shared_ptr<event_ring> core);

  void start() { thread_.start(); }
  void stop() { thread_.stop(); }
  [[nodiscard]] std::shared_ptr<bounded_ring<core::endpoint_action>> ring() const
  {
    return thread_.ring();
  }

 private:
  void take(const core::start_exchange& a);
  void take(const core::cancel_exchange& a);
  void take(const core::poll_load& a);
  void take(const core::poll_cache_events& a);
  void take(const core::close_idle_connections& a);

  boost::asio::awaitable<void> run(core::start_exchange a, std::shared_ptr<http::exchange> handle);
  boost::asio::awaitable<void> run_whole(core::start_exchange a);
  boost::asio::awaitable<void> run_streamed(core::start_exchange a,
                                            std::shared_ptr<http::exchange> handle);
  boost::asio::awaitable<void> poll(core::poll_load a);
  boost::asio::awaitable<void> poll(core::poll_cache_events a);
  boost::asio::awaitable<bool> fetch(http::socket_address from, std::string target,
                                     mono_time deadline, boost::json::value& out);
  void report(core::exchange_number number, core::event e);

  duty_thread<core::endpoint_action> thread_;
  http::client client_;
  std::map<core::exchange_number, std::shared_ptr<http::exchange>> running_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_ENDPOINT_SIDE_H_
