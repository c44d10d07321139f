// An HTTP/1.1 client on one io_context, based on Boost.Beast, with a pool of idle connections per
// address.
//
//   http::client client(context);
//   http::request message{.target = "/health"};
//   const auto answer = co_await client.call(address, std::move(message), deadline);

#ifndef WISTERIAFLOW_HTTP_CLIENT_H_
#define WISTERIAFLOW_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::http {

// Limits and retry behaviour of a client.
struct client_options {
  std::size_t idle_connections_per_address = 8;
  std::size_t body_limit = std::size_t{8} * 1024 * 1024; // bytes of a response of call()
  std::chrono::milliseconds idle_timeout{20'000};        // shorter than the idle timeout of servers
  // Limit for opening a connection; 0: the call's deadline alone.
  std::chrono::milliseconds connect_timeout{0};
  // Closes a connection when sent data stays unacknowledged for this long, for example because the
  // peer lost power; 0: the kernel's default, which is minutes.
  std::chrono::milliseconds unacknowledged_timeout{0};
  // Retries a GET once on a new connection when a reused connection turns out to be closed. If
  // false, every such failure is reported, so that the caller can count the requests that it sends.
  bool retry_stale_get = true;
  // Reuses a connection only within half of the timeout in the server's Keep-Alive field, and not
  // at all without that field: a server that closes an idle connection early would otherwise break
  // non-idempotent calls.
  bool require_keep_alive_timeout = false;
};

// Callbacks that receive a streamed response as it arrives. Each may be empty.
struct stream_observer {
  std::function<void(const response& head)> on_head;
  std::function<void(std::string_view bytes)> on_bytes; // body bytes, chunk framing removed
  // Like on_bytes, but the client reads no more until the coroutine has finished. A slow consumer
  // thus slows the sender down (backpressure) instead of filling memory.
  std::function<boost::asio::awaitable<void>(std::string_view bytes)> on_bytes_async;
  // Returns false for a response to an earlier request on the connection; the client skips it and
  // waits for the next response. If empty, every response is accepted.
  std::function<bool(const response& head)> is_expected;
};

// Cancels a request in flight. Use it on the thread of the client's io_context.
class cancel_handle {
 public:
  // Closes the connection of the request; the pending call throws broken_exchange_error. Does
  // nothing when the call has ended.
  void cancel();

  // Whether cancel() was called.
  [[nodiscard]] bool is_cancelled() const { return cancelled_; }

 private:
  friend class client;
  std::function<void()> cancel_;
  bool cancelled_ = false;
};

// Sends requests. Not thread-safe: use it on the thread of its io_context.
//
// Observers run on the thread of the io_context. An exception from an observer ends the exchange
// and propagates to the caller. A message that cannot be sent, for example because a field contains
// a line break, throws http_error.
//
// If a reused connection fails or times out before any byte of a response, the client also closes
// the other idle connections to that address.
//
// If a reused connection fails (other than by a timeout) before any byte of a response, the client
// retries a GET request on a new connection. Other methods throw broken_exchange_error, because the
// server may have executed the request.
class client {
 public:
  explicit client(boost::asio::io_context& context, client_options options = {});
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // Sends `message` and returns the complete response. Throws connect_error if no byte was sent,
  // exchange_timeout_error if `deadline` passes after that, and broken_exchange_error for other
  // failures, including a response over the body limit.
  boost::asio::awaitable<response> call(socket_address to, request message, mono_time deadline);

  // Like call(), but passes the response to `observer` as it arrives; the body limit does not
  // apply. Returns when the body is complete and throws broken_exchange_error if it is truncated.
  // `handle`, if not null, is set before the call returns its awaitable and can cancel the request.
  boost::asio::awaitable<void> stream(socket_address to, request message, mono_time deadline,
                                      stream_observer observer, cancel_handle* handle = nullptr);

  // Returns how many connections this client has tried to open.
  [[nodiscard]] std::uint64_t connections_opened() const;

  // Closes the idle connections to `to`, for example because the endpoint was removed.
  void close_idle_connections(const socket_address& to);

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_CLIENT_H_
