#include "wisteriaflow/http/client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "beast_message.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::http {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t body_read_size = std::size_t{8} * 1024; // max bytes per callback
constexpr std::uint32_t header_limit = 64 * 1024;
// Bytes that are kept until they can be parsed: a head, or the framing between two parts of a body.
constexpr std::size_t buffer_limit = std::size_t{2} * header_limit;
// Bytes of framing and trailers between two parts of a body.
constexpr std::size_t framing_limit = header_limit;
// Responses that are read and discarded in one exchange: interim ones, and those to other requests.
constexpr unsigned max_discarded_responses = 16;
constexpr std::size_t discarded_body_limit = std::size_t{1} << 20U;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_final_status = 599;
// Interim responses that a server may send unasked. 101 is none of them: it ends HTTP on the
// connection.
constexpr std::array<unsigned, 3> interim_statuses = {100, 102, 103};

using wire_request = beast_http::request<beast_http::string_body>;
using response_reader = beast_http::response_parser<beast_http::buffer_body>;

// One connection to a server, with the bytes that were read after the end of the last response.
struct client_connection {
  explicit client_connection(asio::io_context& context) : stream(context), buffer(buffer_limit) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  mono_time idle_until;
};

// One call in progress, shared with the cancel_handle of the caller.
struct call_state {
  socket_address to;
  mono_time deadline;
  stream_observer observer;
  std::shared_ptr<client_connection> connection;
  bool reused = false;
  bool cancelled = false;
  bool response_started = false;
  unsigned discarded_responses = 0;
  bool keep_alive = false;
  std::chrono::milliseconds idle_timeout{0}; // how long the connection may stay idle
};

wire_request to_wire(request message, const socket_address& to)
{
  internal::check_request_line_token(message.method);
  internal::check_request_line_token(message.target);
  wire_request wire;
  wire.version(11);
  wire.method_string(message.method);
  wire.target(message.target);
  internal::append_fields(message.fields, wire);
  if (wire.find(beast_http::field::host) == wire.end()) {
    wire.set(beast_http::field::host, to_string(to));
  }
  wire.body() = std::move(message.body);
  wire.prepare_payload();
  return wire;
}

// Returns whether the server has neither closed an idle connection nor sent anything on it.
bool is_usable(client_connection& idle)
{
  char byte = 0;
  error_code ec;
  idle.stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

// Makes the kernel close a connection when sent bytes stay unacknowledged; see client_options. A
// connection that waits for a response sends nothing, so TCP keep-alive probes apply the same limit
// to it: without them, a connection that a firewall dropped would block the call until its
// deadline.
void set_unacknowledged_timeout(tcp::socket& socket, std::chrono::milliseconds limit)
{
  if (limit.count() <= 0) {
    return;
  }
  constexpr int probe_seconds = 1; // the minimum of the kernel
  constexpr int max_lost_probes = 2;
  const auto ms = static_cast<unsigned>(limit.count());
  const int fd = socket.native_handle();
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  error_code ec;
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds, sizeof probe_seconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof probe_seconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &max_lost_probes, sizeof max_lost_probes);
}

// Returns the timeout in the Keep-Alive field of a response ("timeout=5" or "5"), or nullopt
// without one.
std::optional<std::chrono::seconds> parse_keep_alive_timeout(const response& head)
{
  auto text = find_header(head.fields, "Keep-Alive");
  const auto marker = text.find("timeout=");
  if (marker != std::string_view::npos) {
    text.remove_prefix(marker + std::string_view("timeout=").size());
  }
  unsigned seconds = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

[[noreturn]] void throw_exchange_error(const call_state& call, error_code ec)
{
  if (call.cancelled) {
    throw broken_exchange_error("the exchange with " + to_string(call.to) + " was cancelled");
  }
  if (ec == boost::beast::error::timeout) {
    throw exchange_timeout_error("no whole response from " + to_string(call.to) + " in time");
  }
  throw broken_exchange_error("the exchange with " + to_string(call.to) +
                              " broke off: " + ec.message());
}

} // namespace

class client::implementation : public std::enable_shared_from_this<implementation> {
 public:
  implementation(asio::io_context& context, client_options options)
      : context_(context), options_(options)
  {
  }

  asio::awaitable<response> call(std::shared_ptr<implementation> self,
                                 std::shared_ptr<call_state> call, request message)
  {
    response result;
    const auto limit = options_.body_limit;
    call->observer.on_head = [&result](const response& head) { result = head; };
    call->observer.on_bytes = [&result, limit](std::string_view bytes) {
      if (result.body.size() + bytes.size() > limit) {
        throw broken_exchange_error("the response is over the limit of " + std::to_string(limit) +
                                    " bytes");
      }
      result.body.append(bytes);
    };
    co_await stream(self, call, std::move(message));
    co_return result;
  }

  // `self` keeps this object alive for as long as the coroutine runs.
  asio::awaitable<void> stream([[maybe_unused]] std::shared_ptr<implementation> self,
                               std::shared_ptr<call_state> call, request message)
  {
    const bool retryable = options_.retry_stale_get && message.method == "GET";
    auto wire = to_wire(std::move(message), call->to);
    for (bool force_new = false;; force_new = true) {
      co_await connect(*call, force_new);
      error_code ec;
      ec = co_await exchange_messages(*call, wire);
      if (!ec) {
        break;
      }
      if (call->reused && !call->response_started && !call->cancelled) {
        // The cause of this failure most likely affects the other idle connections, too. Calls that
        // tried them one after another would each wait as long again.
        idle_.erase(call->to);
      }
      const bool is_stale = call->reused && !call->response_started && !call->cancelled &&
                            ec != boost::beast::error::timeout;
      if (!is_stale || !retryable) {
        throw_exchange_error(*call, ec);
      }
    }
    if (call->keep_alive) {
      keep_idle_connection(*call);
    }
  }

  [[nodiscard]] std::uint64_t connections_opened() const { return connections_opened_; }

  void close_idle_connections(const socket_address& to) { idle_.erase(to); }

 private:
  // Sets the connection of `call`: an idle one if there is one and `force_new` is false, else a new
  // one.
  asio::awaitable<void> connect(call_state& call, bool force_new)
  {
    if (call.cancelled) {
      throw_exchange_error(call, {});
    }
    if (std::chrono::steady_clock::now() >= call.deadline) {
      throw connect_error("no time left to connect to " + to_string(call.to));
    }
    call.connection = force_new ? nullptr : take_idle_connection(call.to);
    call.reused = call.connection != nullptr;
    if (call.reused) {
      co_return;
    }
    call.connection = std::make_shared<client_connection>(context_);
    auto& stream = call.connection->stream;
    ++connections_opened_;
    stream.expires_at(connect_deadline(call));
    error_code ec;
    const auto host = asio::ip::make_address(call.to.host, ec);
    if (!ec) {
      const tcp::endpoint endpoint(host, call.to.port);
      co_await stream.async_connect(endpoint, redirect_error(use_awaitable, ec));
    }
    if (call.cancelled) {
      throw_exchange_error(call, ec);
    }
    if (ec) {
      throw connect_error("cannot connect to " + to_string(call.to) + ": " + ec.message());
    }
    stream.socket().set_option(tcp::no_delay(true), ec);
    stream.socket().non_blocking(true, ec); // for the peek in is_usable()
    set_unacknowledged_timeout(stream.socket(), options_.unacknowledged_timeout);
  }

  [[nodiscard]] mono_time connect_deadline(const call_state& call) const
  {
    if (options_.connect_timeout.count() == 0) {
      return call.deadline;
    }
    return std::min(call.deadline, std::chrono::steady_clock::now() + options_.connect_timeout);
  }

  // Sends `wire` and passes the response to the observer.
  asio::awaitable<error_code> exchange_messages(call_state& call, wire_request& wire)
  {
    const auto connection = call.connection;
    connection->stream.expires_at(call.deadline);
    error_code ec;
    co_await beast_http::async_write(connection->stream, wire, redirect_error(use_awaitable, ec));
    if (ec) {
      co_return ec;
    }
    const bool head_only = wire.method() == beast_http::verb::head;
    for (;;) {
      std::optional<response_reader> reader;
      ec = co_await read_head(call, *connection, reader, head_only);
      if (ec) {
        co_return ec;
      }
      auto& parser = *reader;
      const response head{.status = static_cast<int>(parser.get().result_int()),
                          .fields = internal::to_headers(parser.get())};
      const bool expected = !call.observer.is_expected || call.observer.is_expected(head);
      if (expected && call.observer.on_head) {
        call.observer.on_head(head);
      }
      ec = co_await read_body(call, *connection, parser, expected);
      if (ec || expected) {
        call.idle_timeout = idle_timeout_after(head);
        call.keep_alive = !ec && !call.cancelled && parser.keep_alive();
        co_return ec;
      }
      if (!parser.keep_alive() || ++call.discarded_responses > max_discarded_responses) {
        co_return beast_http::error::end_of_stream;
      }
    }
  }

  [[nodiscard]] std::chrono::milliseconds idle_timeout_after(const response& head) const
  {
    if (!options_.require_keep_alive_timeout) {
      return options_.idle_timeout;
    }
    const std::chrono::milliseconds stated =
        parse_keep_alive_timeout(head).value_or(std::chrono::seconds{0});
    return std::min(options_.idle_timeout, stated / 2);
  }

  // Whether the response is an interim one. These have no body: what seemed to be one would be read
  // as the next response.
  static bool is_interim(const beast_http::response<beast_http::buffer_body>& head)
  {
    const bool is_known = std::find(interim_statuses.begin(), interim_statuses.end(),
                                    head.result_int()) != interim_statuses.end();
    return is_known && head.find(beast_http::field::content_length) == head.end() &&
           head.find(beast_http::field::transfer_encoding) == head.end();
  }

  // Reads up to the end of the head of the final response. Interim responses are skipped; any other
  // status outside 200 to 599 is an error, and what follows it is not read.
  static asio::awaitable<error_code> read_head(call_state& call, client_connection& connection,
                                               std::optional<response_reader>& reader,
                                               bool head_only)
  {
    error_code ec;
    do {
      reader.emplace();
      reader->header_limit(header_limit);
      reader->body_limit(boost::none);
      reader->skip(head_only);
      co_await beast_http::async_read_header(connection.stream, connection.buffer, *reader,
                                             redirect_error(use_awaitable, ec));
      call.response_started = call.response_started || reader->got_some();
      const auto status = reader->get().result_int();
      if (ec || (first_final_status <= status && status <= last_final_status)) {
        co_return ec;
      }
      if (!is_interim(reader->get())) {
        co_return beast_http::error::bad_status;
      }
    } while (++call.discarded_responses <= max_discarded_responses);
    co_return beast_http::error::header_limit;
  }

  static asio::awaitable<error_code> read_body(call_state& call, client_connection& connection,
                                               response_reader& parser, bool expected)
  {
    std::array<char, body_read_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    error_code ec;
    std::size_t framing = 0;   // bytes since the last part of the body
    std::size_t discarded = 0; // bytes of an unexpected body
    while (!parser.is_done()) {
      parser.get().body().data = bytes.data();
      parser.get().body().size = bytes.size();
      const auto read = co_await beast_http::async_read_some(
          connection.stream, connection.buffer, parser, redirect_error(use_awaitable, ec));
      if (ec == beast_http::error::need_buffer) {
        ec = {};
      }
      const auto n = bytes.size() - parser.get().body().size;
      if (call.cancelled) {
        co_return asio::error::operation_aborted;
      }
      framing = n > 0 ? 0 : framing + read;
      discarded += expected ? 0 : n;
      if (framing > framing_limit || discarded > discarded_body_limit) {
        co_return beast_http::error::body_limit;
      }
      if (n > 0 && expected) {
        const std::string_view received(bytes.data(), n);
        if (call.observer.on_bytes) {
          call.observer.on_bytes(received);
        }
        if (call.observer.on_bytes_async) {
          co_await call.observer.on_bytes_async(received);
        }
      }
      if (ec) {
        break;
      }
    }
    co_return ec;
  }

  // Removes and returns the most recently used idle connection to `to` that is still usable, or
  // returns null.
  std::shared_ptr<client_connection> take_idle_connection(const socket_address& to)
  {
    const auto it = idle_.find(to);
    while (it != idle_.end() && !it->second.empty()) {
      auto last = std::move(it->second.back());
      it->second.pop_back();
      const bool is_unexpired = std::chrono::steady_clock::now() < last->idle_until;
      if (is_unexpired && is_usable(*last)) {
        return last;
      }
    }
    if (it != idle_.end()) {
      idle_.erase(it);
    }
    return nullptr;
  }

  void keep_idle_connection(call_state& call)
  {
    auto connection = std::move(call.connection);
    // Bytes after the end of the response belong to no request, so the connection is not reused.
    if (connection->buffer.size() > 0 || call.idle_timeout.count() <= 0) {
      return;
    }
    auto& list = idle_[call.to];
    if (list.size() >= options_.idle_connections_per_address) {
      list.erase(list.begin());
    }
    connection->stream.expires_never();
    connection->buffer.clear();
    connection->buffer.shrink_to_fit();
    connection->idle_until = std::chrono::steady_clock::now() + call.idle_timeout;
    list.push_back(std::move(connection));
  }

  asio::io_context& context_;
  client_options options_;
  std::map<socket_address, std::vector<std::shared_ptr<client_connection>>> idle_;
  std::uint64_t connections_opened_ = 0;
};

void cancel_handle::cancel()
{
  cancelled_ = true;
  if (cancel_) {
    cancel_();
  }
}

client::client(boost::asio::io_context& context, client_options options)
    : implementation_(std::make_shared<implementation>(context, options))
{
}

client::~client() = default;

asio::awaitable<response> client::call(socket_address to, request message, mono_time deadline)
{
  auto call = std::make_shared<call_state>();
  call->to = std::move(to);
  call->deadline = deadline;
  return implementation_->call(implementation_, std::move(call), std::move(message));
}

asio::awaitable<void> client::stream(socket_address to, request message, mono_time deadline,
                                     stream_observer observer, cancel_handle* handle)
{
  auto call = std::make_shared<call_state>();
  call->to = std::move(to);
  call->deadline = deadline;
  call->observer = std::move(observer);
  if (handle != nullptr) {
    handle->cancel_ = [weak = std::weak_ptr<call_state>(call)] {
      const auto active_call = weak.lock();
      if (active_call) {
        active_call->cancelled = true;
        if (active_call->connection) {
          active_call->connection->stream.close();
        }
      }
    };
  }
  return implementation_->stream(implementation_, std::move(call), std::move(message));
}

std::uint64_t client::connections_opened() const
{
  return implementation_->connections_opened();
}

void client::close_idle_connections(const socket_address& to)
{
  implementation_->close_idle_connections(to);
}

} // namespace wisteriaflow::http
