// One accepted connection of a server: reads requests one after another, passes each to the handler
// and writes its response.

#ifndef WISTERIAFLOW_SRC_HTTP_CONNECTION_H_
#define WISTERIAFLOW_SRC_HTTP_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "wisteriaflow/http/server.h"

namespace wisteriaflow::http::internal {

class connection;

// State shared by all connections of one server.
struct server_state {
  server_options options;
  handler on_request;
  std::unordered_set<connection*> connections;
  std::size_t open_requests = 0;
  mono_time last_request_at = std::chrono::steady_clock::now();
  bool draining = false;
};

// Owned by its coroutine and by the pending wait for the peer to close.
class connection final : public response_writer, public std::enable_shared_from_this<connection> {
 public:
  connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<server_state> state);
  ~connection() override;
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Serves requests until the peer or the server closes the connection.
  boost::asio::awaitable<void> run();

  // Whether a request is being received or answered.
  [[nodiscard]] bool is_busy() const { return phase_ != phase::idle; }

  // Closes the socket at once.
  void close();

  // Makes run() close the socket, unless bytes of a request have arrived since the last response.
  void close_if_idle();

  boost::asio::awaitable<void> send(response full_response) override;
  boost::asio::awaitable<void> start_stream(response head) override;
  boost::asio::awaitable<void> write_chunk(std::string_view bytes) override;
  boost::asio::awaitable<void> finish_stream() override;
  void abort() override;
  void on_peer_closed(std::function<void()> on_closed) override;

 private:
  enum class phase { idle, reading, handling, streaming, finished };

  boost::asio::awaitable<bool> wait_for_bytes();
  boost::asio::awaitable<std::optional<request>> read_request();
  boost::asio::awaitable<void> reject_request(boost::system::error_code ec);
  boost::asio::awaitable<void> lingering_close();
  boost::asio::awaitable<void> handle_request(request received);
  void require_phase(phase expected) const;
  void end_response();
  void check_written(boost::system::error_code ec);
  void watch_for_peer_close();
  void on_readable();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<server_state> state_;
  boost::beast::flat_buffer buffer_;
  std::function<void()> on_closed_;
  phase phase_ = phase::idle;
  unsigned version_ = 11; // HTTP version of the current request in Beast's encoding: 10 or 11
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool response_open_ = false;
  bool watching_for_close_ = false;
};

} // namespace wisteriaflow::http::internal

#endif // WISTERIAFLOW_SRC_HTTP_CONNECTION_H_
