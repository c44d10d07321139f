// An HTTP/1.1 server for one io_context, over Boost.Beast.
//
//   boost::asio::io_context context;
//   http::server server(context, {.address = {"127.0.0.1", 0}},
//                       [](http::request r, http::response_writer& w) -> asio::awaitable<void> {
//                         http::response hello{.status = 200, .body = "hello"};
//                         co_await w.send(std::move(hello));
//                       });
//   context.run();
//
// In handlers, build messages in locals as above: GCC 12 destroys some temporaries inside a
// co_await expression twice.

#ifndef WISTERIAFLOW_HTTP_SERVER_H_
#define WISTERIAFLOW_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::http {

// Sends one response. Belongs to the connection that received the request; every member is called
// on the server's io_context.
class response_writer {
 public:
  virtual ~response_writer() = default;

  // Sends a whole response. Throws broken_exchange_error if the peer is gone.
  virtual boost::asio::awaitable<void> send(response whole) = 0;

  // Sends the head of a chunked response; `head.body` must be empty.
  virtual boost::asio::awaitable<void> start_stream(response head) = 0;

  // Sends one chunk of a started stream.
  virtual boost::asio::awaitable<void> write_chunk(std::string_view bytes) = 0;

  // Ends a started stream.
  virtual boost::asio::awaitable<void> finish_stream() = 0;

  // Closes the connection without ending the response: the peer sees a cut.
  virtual void abort() = 0;

  // Calls `on_closed` once if the peer closes its side before the response is finished.
  virtual void on_peer_closed(std::function<void()> on_closed) = 0;
};

// Answers one request. An exception that escapes becomes a 500 if nothing was sent, else a cut.
using handler = std::function<boost::asio::awaitable<void>(request, response_writer&)>;

// What a server accepts. A request over a limit is answered 431 or 413 and its connection closed.
struct server_options {
  socket_address address;                                // port 0: the kernel chooses
  std::size_t header_limit = std::size_t{16} * 1024;     // bytes
  std::size_t body_limit = std::size_t{4} * 1024 * 1024; // bytes
  std::size_t connection_limit = 4096;                   // more are accepted and closed at once
  std::chrono::milliseconds read_timeout{30'000};        // a whole request must arrive within it
  std::chrono::milliseconds idle_timeout{60'000};        // between requests of a connection
  std::chrono::milliseconds write_timeout{10'000};       // a slow reader is cut after it
};

// Accepts connections until stopped. Not thread-safe: use it on its io_context's thread.
class server {
 public:
  // Listens at once. Throws http_error if the address cannot be bound.
  server(boost::asio::io_context& context, server_options options, handler on_request);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // The address listened on, with the port the kernel chose.
  [[nodiscard]] socket_address address() const;

  // Requests received whose response is not finished.
  [[nodiscard]] std::size_t open_requests() const;

  // From now on tells peers with each response that the connection will not be kept; still accepts
  // and serves new ones.
  void announce_close();

  // Takes no new connections; connections close after the response they are sending, and idle
  // ones after a moment in which a request under way is still answered.
  void stop_accepting();

  // Closes everything at once.
  void close();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_SERVER_H_
