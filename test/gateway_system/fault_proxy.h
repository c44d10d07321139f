// A TCP proxy that harms what it carries, as a network does: delays, resets, silence, answers lost
// on the way back.

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_FAULT_PROXY_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_FAULT_PROXY_H_

#include <list>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway_system_tests {

// What happens to bytes. A connection that lost some of them carries nothing ever after.
enum class network_fault {
  none,
  delayed,      // each piece waits for 150 ms
  silent,       // bytes vanish in both directions
  answers_lost, // bytes towards the client vanish
};

// Not thread-safe. Lives as long as its context runs.
class fault_proxy {
 public:
  // Listens on a port of `host` that the kernel chooses and connects to `target`.
  fault_proxy(boost::asio::io_context& context, const std::string& host,
              http::socket_address target);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  [[nodiscard]] http::socket_address address() const;

  // From now on, for connections that are open and new ones.
  void set(network_fault fault) { *fault_ = fault; }

  // Resets every open connection.
  void reset_connections();

  // The same, and refuses new ones, as when the process behind it has ended.
  void close();

 private:
  struct connection;

  boost::asio::awaitable<void> accept();
  static boost::asio::awaitable<void> carry(std::shared_ptr<connection> c, bool to_client);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  std::shared_ptr<network_fault> fault_ = std::make_shared<network_fault>(network_fault::none);
  std::list<std::weak_ptr<connection>> connections_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_FAULT_PROXY_H_
