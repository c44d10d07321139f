// A TCP proxy that injects network faults: delays, connection resets, silence, lost answers, and
// new connections that are refused or never established.
//
//   fault_proxy proxy(context, "127.0.0.1", server_address);
//   proxy.set(network_fault::silent); // clients connect to proxy.address()

#ifndef WISTERIAFLOW_TEST_FAKES_FAULT_PROXY_H_
#define WISTERIAFLOW_TEST_FAKES_FAULT_PROXY_H_

#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::fakes {

// What happens to forwarded data. A connection that has dropped data forwards nothing any more,
// also after the fault has ended.
enum class network_fault {
  none,
  delayed,      // each chunk is delayed by 150 ms
  silent,       // data in both directions is dropped
  answers_lost, // data towards the client is dropped
};

// Forwards connections to one server. Not thread-safe; must live as long as its context runs.
class fault_proxy {
 public:
  // Listens on a port of `host` chosen by the kernel and connects to `target`.
  fault_proxy(boost::asio::io_context& context, const std::string& host,
              http::socket_address target);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  [[nodiscard]] http::socket_address address() const;

  // Sets the fault for open and new connections.
  void set(network_fault fault) { *fault_ = fault; }

  // Resets all open connections.
  void reset_connections();

  // Refuses new connections; open ones live on.
  void refuse_new_connections();

  // Lets new connections hang: their opening packets are dropped. Open ones live on.
  void hang_new_connections();

  // Resets all open connections and refuses new ones, as if the process behind the proxy had ended.
  void close();

  // Accepts connections again, at the same address.
  void reopen();

 private:
  struct connection;

  void listen(int backlog);
  boost::asio::awaitable<void> accept();
  static boost::asio::awaitable<void> forward(std::shared_ptr<connection> c, bool to_client);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  // Connections that fill the queue of the listener, so that the kernel drops further ones.
  std::vector<boost::asio::ip::tcp::socket> queue_fillers_;
  boost::asio::ip::tcp::endpoint target_;
  std::shared_ptr<network_fault> fault_ = std::make_shared<network_fault>(network_fault::none);
  std::list<std::weak_ptr<connection>> connections_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAULT_PROXY_H_
