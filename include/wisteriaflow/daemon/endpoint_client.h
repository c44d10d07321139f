// HTTP client for endpoints. Runs the core's attempts and polls load and cache events.

#ifndef WISTERIAFLOW_DAEMON_ENDPOINT_CLIENT_H_
#define WISTERIAFLOW_DAEMON_ENDPOINT_CLIENT_H_

#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/daemon/io_thread.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::daemon {

// Runs HTTP exchanges with endpoints and reports them to the core. Each exchange ends with exactly
// one exchange_ended or exchange_failed event, or with no event once the core has cancelled it.
class endpoint_client {
 public:
  explicit endpoint_client(std::shared_ptr<event_ring> core);

  void start() { thread_.start(); }
  void stop() { thread_.stop(); }
  [[nodiscard]] std::shared_ptr<bounded_ring<core::endpoint_action>> ring() const
  {
    return thread_.ring();
  }

 private:
  void handle_action(const core::start_exchange& a);
  void handle_action(const core::cancel_exchange& a);
  void handle_action(const core::poll_load& a);
  void handle_action(const core::poll_cache_events& a);
  void handle_action(const core::close_idle_connections& a);

  boost::asio::awaitable<void> run(core::start_exchange a,
                                   std::shared_ptr<http::cancel_handle> handle);
  boost::asio::awaitable<void> run_unary(core::start_exchange a);
  boost::asio::awaitable<void> run_streamed(core::start_exchange a,
                                            std::shared_ptr<http::cancel_handle> handle);
  boost::asio::awaitable<void> poll(core::poll_load a);
  boost::asio::awaitable<void> poll(core::poll_cache_events a);
  boost::asio::awaitable<bool> fetch_json(http::socket_address from, std::string target,
                                          mono_time deadline, boost::json::value& out);
  void report(core::exchange_number number, core::event e);

  io_thread<core::endpoint_action> thread_;
  http::client client_;
  std::map<core::exchange_number, std::shared_ptr<http::cancel_handle>> running_exchanges_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_ENDPOINT_CLIENT_H_
