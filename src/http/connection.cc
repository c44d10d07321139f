#include "connection.h"

#include <array>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "beast_message.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::http::internal {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t initial_read_size = 1024; // bytes; the buffer grows as needed
constexpr std::chrono::milliseconds lingering_close_time{1000};
constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;
constexpr int bad_request_status = 400;
constexpr int payload_too_large_status = 413;
constexpr int header_too_large_status = 431;
constexpr int internal_error_status = 500;

// Error response to a request that the server rejects without calling the handler.
struct request_error {
  int status = 0;
  std::string_view reason;
  std::string_view message;
};

// Returns the error response for a failed read, or nullopt if the peer closed the connection or the
// read failed below the HTTP level, so that no response can be sent.
std::optional<request_error> request_error_for(error_code ec)
{
  if (ec == beast_http::error::header_limit || ec == beast_http::error::buffer_overflow) {
    return request_error{header_too_large_status, "header_too_large",
                         "the header is over the limit"};
  }
  if (ec == beast_http::error::body_limit) {
    return request_error{payload_too_large_status, "body_too_large", "the body is over the limit"};
  }
  const bool peer_closed =
      ec == beast_http::error::end_of_stream || ec == beast_http::error::partial_message;
  if (peer_closed || ec.category() != make_error_code(beast_http::error::bad_method).category()) {
    return std::nullopt;
  }
  return request_error{bad_request_status, "malformed_http", "the request is not valid HTTP/1.1"};
}

response error_response(int status, std::string_view outcome, std::string_view type,
                        std::string_view reason, std::string_view message)
{
  const boost::json::value body = {
      {"error", {{"type", type}, {"reason", reason}, {"message", message}}}};
  response out{.status = status, .body = boost::json::serialize(body)};
  out.fields.push_back({.name = "Content-Type", .value = "application/json"});
  out.fields.push_back({.name = "Wisteriaflow-Outcome", .value = std::string(outcome)});
  return out;
}

template <typename body_type>
void fill_header(const response& from, unsigned version, bool keep_alive,
                 beast_http::response<body_type>& to)
{
  to.version(version);
  to.result(static_cast<unsigned>(from.status));
  append_fields(from.fields, to);
  to.keep_alive(keep_alive);
}

} // namespace

connection::connection(tcp::socket socket, std::shared_ptr<server_state> state)
    : stream_(std::move(socket)), state_(std::move(state))
{
  error_code ec;
  stream_.socket().set_option(tcp::no_delay(true), ec);
  stream_.socket().non_blocking(true, ec); // for the message_peek in on_readable()
  state_->connections.insert(this);
}

connection::~connection()
{
  state_->connections.erase(this);
  end_response();
}

asio::awaitable<void> connection::run()
{
  const auto self = shared_from_this();
  while (keep_alive_) {
    const bool more = co_await wait_for_bytes();
    if (!more) {
      break;
    }
    auto received = co_await read_request();
    if (!received) {
      break;
    }
    co_await handle_request(std::move(*received));
  }
  close();
}

void connection::close()
{
  error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream_.close();
}

void connection::close_if_idle()
{
  error_code ec;
  if (phase_ == phase::idle && stream_.socket().available(ec) == 0) {
    stream_.cancel(); // has no effect on a read that is complete but not yet handled
  }
}

asio::awaitable<bool> connection::wait_for_bytes()
{
  phase_ = phase::idle;
  if (buffer_.size() > 0) {
    co_return true;
  }
  buffer_.clear();
  buffer_.shrink_to_fit(); // frees the buffer of a large request while idle
  stream_.expires_after(state_->options.idle_timeout);
  const auto space = buffer_.prepare(initial_read_size);
  error_code ec;
  const auto n = co_await stream_.async_read_some(space, redirect_error(use_awaitable, ec));
  buffer_.commit(n);
  co_return !ec;
}

asio::awaitable<std::optional<request>> connection::read_request()
{
  phase_ = phase::reading;
  beast_http::request_parser<beast_http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(state_->options.header_limit));
  parser.body_limit(state_->options.body_limit);
  stream_.expires_after(state_->options.read_timeout);
  error_code ec;
  co_await beast_http::async_read_header(stream_, buffer_, parser,
                                         redirect_error(use_awaitable, ec));
  if (!ec && parser.get()[beast_http::field::expect] == "100-continue") {
    constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto bytes = asio::buffer(continue_response.data(), continue_response.size());
    co_await asio::async_write(stream_, bytes, redirect_error(use_awaitable, ec));
  }
  if (!ec) {
    co_await beast_http::async_read(stream_, buffer_, parser, redirect_error(use_awaitable, ec));
  }
  if (ec) {
    co_await reject_request(ec);
    co_return std::nullopt;
  }
  auto message = parser.release();
  version_ = message.version() == http_1_0 ? http_1_0 : http_1_1;
  keep_alive_ = message.keep_alive();
  head_only_ = message.method() == beast_http::verb::head;
  request received{.method = std::string(message.method_string()),
                   .target = std::string(message.target()),
                   .fields = to_headers(message),
                   .body = std::move(message.body())};
  co_return received;
}

asio::awaitable<void> connection::reject_request(error_code ec)
{
  const auto rejection = request_error_for(ec);
  if (!rejection) {
    co_return;
  }
  version_ = http_1_1;
  keep_alive_ = false;
  head_only_ = false;
  phase_ = phase::handling;
  auto answer = error_response(rejection->status, "invalid", "invalid", rejection->reason,
                               rejection->message);
  try {
    co_await send(std::move(answer));
    co_await lingering_close();
  } catch (const http_error&) {
    close(); // the peer closed the connection before it received the response
  }
}

// Reads and discards input for a short time before the connection is closed: closing it with unread
// bytes would reset it, and the peer might lose the response.
asio::awaitable<void> connection::lingering_close()
{
  error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream_.expires_after(lingering_close_time);
  std::array<char, initial_read_size> discarded{};
  std::size_t left = state_->options.body_limit;
  while (!ec && left > 0) {
    const auto space = asio::buffer(discarded);
    const auto n = co_await stream_.async_read_some(space, redirect_error(use_awaitable, ec));
    left -= std::min(left, n);
  }
}

asio::awaitable<void> connection::handle_request(request received)
{
  phase_ = phase::handling;
  response_open_ = true;
  ++state_->open_requests;
  state_->last_request_at = std::chrono::steady_clock::now();
  stream_.expires_never();
  bool failed = false;
  try {
    co_await state_->on_request(std::move(received), *this);
  } catch (const std::exception&) {
    failed = true;
  }
  if (phase_ == phase::handling) {
    auto failure_response =
        error_response(internal_error_status, "outcome-unknown", "outcome_unknown",
                       "internal_error", "the request ended without an answer");
    keep_alive_ = false;
    try {
      co_await send(std::move(failure_response));
    } catch (const http_error&) {
      failed = true;
    }
  }
  if (failed || phase_ == phase::streaming) {
    keep_alive_ = false;
  }
  if (phase_ == phase::streaming) {
    abort();
  }
  end_response();
}

asio::awaitable<void> connection::send(response full_response)
{
  require_phase(phase::handling);
  keep_alive_ = keep_alive_ && !state_->draining;
  beast_http::response<beast_http::string_body> message;
  fill_header(full_response, version_, keep_alive_, message);
  if (head_only_) {
    message.content_length(full_response.body.size());
  } else {
    message.body() = std::move(full_response.body);
    message.prepare_payload();
  }
  phase_ = phase::finished;
  stream_.expires_after(state_->options.write_timeout);
  error_code ec;
  co_await beast_http::async_write(stream_, message, redirect_error(use_awaitable, ec));
  check_written(ec);
  end_response();
}

asio::awaitable<void> connection::start_stream(response head)
{
  require_phase(phase::handling);
  const bool chunked = version_ == http_1_1;
  keep_alive_ = keep_alive_ && chunked && !state_->draining;
  beast_http::response<beast_http::empty_body> message;
  fill_header(head, version_, keep_alive_, message);
  message.chunked(chunked);
  phase_ = phase::streaming;
  stream_.expires_after(state_->options.write_timeout);
  beast_http::response_serializer<beast_http::empty_body> serializer(message);
  error_code ec;
  co_await beast_http::async_write_header(stream_, serializer, redirect_error(use_awaitable, ec));
  check_written(ec);
}

asio::awaitable<void> connection::write_chunk(std::string_view bytes)
{
  require_phase(phase::streaming);
  if (bytes.empty() || head_only_) {
    co_return; // an empty chunk would end the stream
  }
  stream_.expires_after(state_->options.write_timeout);
  const auto payload = asio::buffer(bytes.data(), bytes.size());
  error_code ec;
  if (version_ == http_1_1) {
    const auto chunk = beast_http::make_chunk(payload);
    co_await asio::async_write(stream_, chunk, redirect_error(use_awaitable, ec));
  } else {
    co_await asio::async_write(stream_, payload, redirect_error(use_awaitable, ec));
  }
  check_written(ec);
}

asio::awaitable<void> connection::finish_stream()
{
  require_phase(phase::streaming);
  phase_ = phase::finished;
  if (version_ == http_1_1 && !head_only_) {
    stream_.expires_after(state_->options.write_timeout);
    const auto last = beast_http::make_chunk_last();
    error_code ec;
    co_await asio::async_write(stream_, last, redirect_error(use_awaitable, ec));
    check_written(ec);
  }
  end_response();
}

void connection::abort()
{
  phase_ = phase::finished;
  keep_alive_ = false;
  stream_.close();
  end_response();
}

void connection::on_peer_closed(std::function<void()> on_closed)
{
  on_closed_ = std::move(on_closed);
  watch_for_peer_close();
}

void connection::require_phase(phase expected) const
{
  if (phase_ != expected) {
    throw broken_exchange_error(
        "the response is already complete or aborted, or this call is out of order");
  }
}

void connection::end_response()
{
  on_closed_ = nullptr;
  if (response_open_) {
    response_open_ = false;
    --state_->open_requests;
  }
}

void connection::check_written(error_code ec)
{
  if (ec) {
    abort();
    throw broken_exchange_error("cannot write the response: " + ec.message());
  }
}

void connection::watch_for_peer_close()
{
  if (watching_for_close_ || !on_closed_) {
    return;
  }
  watching_for_close_ = true;
  stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->watching_for_close_ = false;
    if (!ec) {
      self->on_readable();
    }
  });
}

// Checks whether the socket became readable because the peer closed the connection. If bytes of the
// next request arrived instead, the watch ends, since it would fire again at once.
void connection::on_readable()
{
  char byte = 0;
  error_code ec;
  stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  if (!ec || !on_closed_) {
    return;
  }
  if (ec == asio::error::would_block) {
    watch_for_peer_close();
    return;
  }
  const auto on_closed = std::exchange(on_closed_, nullptr);
  on_closed();
}

} // namespace wisteriaflow::http::internal
