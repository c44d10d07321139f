// An HTTP/1.1 server on one io_context, based on Boost.Beast.
//
//   boost::asio::io_context context;
//   http::server server(context, {.address = {"127.0.0.1", 0}},
//                       [](http::request r, http::response_writer& w) -> asio::awaitable<void> {
//                         http::response hello{.status = 200, .body = "hello"};
//                         co_await w.send(std::move(hello));
//                       });
//   context.run();
//
// In handlers, store messages in local variables before co_await, as above: GCC 12 destroys some
// temporaries inside a co_await expression twice.

#ifndef WISTERIAFLOW_HTTP_SERVER_H_
#define WISTERIAFLOW_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::http {

// Sends the response to one request: either send(), or start_stream(), write_chunk() and
// finish_stream(). It belongs to the connection that received the request. Call its members on the
// thread of the server's io_context. Writing throws broken_exchange_error if the peer has
// disconnected, if the write times out or if the call is out of order.
class response_writer {
 public:
  virtual ~response_writer() = default;

  // Sends a complete response.
  virtual boost::asio::awaitable<void> send(response full_response) = 0;

  // Sends the head of a chunked response; `head.body` must be empty. An HTTP/1.0 client gets a body
  // that ends when the connection closes.
  virtual boost::asio::awaitable<void> start_stream(response head) = 0;

  // Sends one chunk of a started stream; empty `bytes` send nothing.
  virtual boost::asio::awaitable<void> write_chunk(std::string_view bytes) = 0;

  // Ends a started stream.
  virtual boost::asio::awaitable<void> finish_stream() = 0;

  // Closes the connection without completing the response, so that the peer detects the truncation.
  virtual void abort() = 0;

  // Calls `on_closed` once if the peer closes the connection before the response is complete.
  virtual void on_peer_closed(std::function<void()> on_closed) = 0;
};

// Handles one request. If it throws, or returns without a response, the server sends status 500
// when no response was started and otherwise closes the connection.
using handler = std::function<boost::asio::awaitable<void>(request, response_writer&)>;

// Limits of a server. A request over a size limit gets status 431 (header) or 413 (body), and its
// connection is closed.
struct server_options {
  socket_address address;                                // port 0: the kernel chooses a port
  std::size_t header_limit = std::size_t{16} * 1024;     // bytes
  std::size_t body_limit = std::size_t{4} * 1024 * 1024; // bytes
  std::size_t connection_limit = 4096;                   // connections above it are closed at once
  std::chrono::milliseconds read_timeout{30'000};        // limit for receiving a complete request
  std::chrono::milliseconds idle_timeout{60'000};        // between requests of a connection
  std::chrono::milliseconds write_timeout{10'000};       // a slower write closes the connection
};

// Accepts connections until it is stopped. Not thread-safe: use it on the thread of its io_context.
class server {
 public:
  // Starts to listen. Throws http_error if the address cannot be bound.
  server(boost::asio::io_context& context, server_options options, handler on_request);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // Returns the listening address, with the actual port.
  [[nodiscard]] socket_address address() const;

  // Returns the number of received requests whose response is not complete.
  [[nodiscard]] std::size_t open_requests() const;

  // Returns the number of connections, and of those on which a request is being received or
  // answered.
  [[nodiscard]] std::size_t connections() const;
  [[nodiscard]] std::size_t busy_connections() const;

  // Returns when the last request was received; the start of the server if none was.
  [[nodiscard]] mono_time last_request_at() const;

  // Closes each connection after its next response, which says so in its Connection field. The
  // server still accepts new connections.
  void disable_keep_alive();

  // Starts to drain: accepts no new connections and closes each connection after its current
  // response. Idle connections stay open for `idle_time`, in which the server still answers a
  // request that was in transit.
  void stop_accepting(std::chrono::milliseconds idle_time = std::chrono::milliseconds(1'000));

  // Closes the listener and all connections at once.
  void close();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_SERVER_H_
