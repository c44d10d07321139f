// An HTTP/1.1 client for one io_context, over Boost.Beast, with a pool of idle connections for
// each address.

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

// Limits of a client.
struct client_options {
  std::size_t idle_connections_per_address = 8;
  std::size_t body_limit = std::size_t{8} * 1024 * 1024; // bytes of a whole response
  std::chrono::milliseconds idle_timeout{20'000};        // shorter than servers keep a connection
  // Opening a connection may take this long; 0: up to the call's deadline.
  std::chrono::milliseconds connect_timeout{0};
  // A connection is given up when what was sent stays unacknowledged for this long, as when the
  // peer has lost power; 0: the kernel's own limit, minutes.
  std::chrono::milliseconds unacknowledged_timeout{0};
  // Sends a GET again when a reused connection turns out to be closed. Off, every such failure is
  // reported, so that the caller can count what it sends.
  bool repeat_stale_get = true;
  // Reuses a connection only within half of the time that the server's Keep-Alive field states,
  // and not at all without that field: servers that close early would break non-idempotent calls.
  bool only_stated_keep_alive = false;
};

// Told about a streamed response as it arrives.
struct stream_observer {
  std::function<void(const response& head)> on_head;
  std::function<void(std::string_view bytes)> on_bytes; // body bytes, chunk framing removed
  // The same, but nothing more is read until it has returned, so that a slow reader downstream
  // slows the sender instead of filling memory.
  std::function<boost::asio::awaitable<void>(std::string_view bytes)> write_bytes;
  // False: this answers an earlier request of the connection; it is skipped and the next response
  // awaited. Unset: every response is taken.
  std::function<bool(const response& head)> is_expected;
};

// A request in flight that can be cancelled from the client's io_context.
class exchange {
 public:
  // Closes the connection; the call throws broken_exchange_error.
  void cancel();

 private:
  friend class client;
  std::function<void()> cancel_;
};

// Sends requests. Not thread-safe: use it on its io_context's thread.
//
// Observers run on the io_context's thread; what they throw ends the exchange and reaches the
// caller. A message that cannot be written (line breaks in a field) throws http_error.
//
// A reused connection on which no response comes, be it that it breaks or stays silent, takes the
// other idle connections to its address with it.
//
// A request on a reused connection that breaks before any byte of a response is sent again only
// for GET; anything else gets broken_exchange_error, because it may have been run.
class client {
 public:
  explicit client(boost::asio::io_context& context, client_options options = {});
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // Sends `message` and returns the whole response. Throws connect_error when no byte was sent,
  // exchange_timeout_error after `deadline`, broken_exchange_error otherwise.
  boost::asio::awaitable<response> call(socket_address to, request message, mono_time deadline);

  // The same for a streamed response; returns when the body has ended whole and throws
  // broken_exchange_error if it is cut short. `handle` (may be null) is filled in at once, to
  // cancel the exchange.
  boost::asio::awaitable<void> stream(socket_address to, request message, mono_time deadline,
                                      stream_observer observer, exchange* handle = nullptr);

  // Connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const;

  // Closes the idle connections to `to`, as when an endpoint leaves.
  void forget(const socket_address& to);

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_CLIENT_H_
