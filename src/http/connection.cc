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

constexpr std::size_t first_read = 1024; // bytes; the buffer grows as needed
constexpr std::chrono::milliseconds linger_time{1000};
constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;
constexpr int malformed_status = 400;
constexpr int body_status = 413;
constexpr int header_status = 431;
constexpr int internal_status = 500;

// Why a request is refused before the handler sees it.
struct refusal {
  int status = 0;
  std::string_view reason;
  std::string_view message;
};

// The refusal for a failed read; nothing where the connection is beyond an answer.
std::optional<refusal> refusal_for(error_code ec)
{
  if (ec == beast_http::error::header_limit || ec == beast_http::error::buffer_overflow) {
    return refusal{header_status, "header_too_large", "the header is over the limit"};
  }
  if (ec == beast_http::error::body_limit) {
    return refusal{body_status, "body_too_large", "the body is over the limit"};
  }
  const bool gone =
      ec == beast_http::error::end_of_stream || ec == beast_http::error::partial_message;
  if (gone || ec.category() != make_error_code(beast_http::error::bad_method).category()) {
    return std::nullopt;
  }
  return refusal{malformed_status, "malformed_http", "the request is not valid HTTP/1.1"};
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
void fill_head(const response& from, unsigned version, bool keep_alive,
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
  stream_.socket().non_blocking(true, ec); // for the peek in on_readable()
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
    co_await answer(std::move(*received));
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
    close();
  }
}

asio::awaitable<bool> connection::wait_for_bytes()
{
  phase_ = phase::idle;
  if (buffer_.size() > 0) {
    co_return true;
  }
  buffer_.clear();
  buffer_.shrink_to_fit(); // an idle connection keeps no buffer of a large request
  stream_.expires_after(state_->options.idle_timeout);
  const auto space = buffer_.prepare(first_read);
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
    constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto bytes = asio::buffer(go_on.data(), go_on.size());
    co_await asio::async_write(stream_, bytes, redirect_error(use_awaitable, ec));
  }
  if (!ec) {
    co_await beast_http::async_read(stream_, buffer_, parser, redirect_error(use_awaitable, ec));
  }
  if (ec) {
    co_await refuse(ec);
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

asio::awaitable<void> connection::refuse(error_code ec)
{
  const auto why = refusal_for(ec);
  if (!why) {
    co_return;
  }
  version_ = http_1_1;
  keep_alive_ = false;
  head_only_ = false;
  phase_ = phase::waiting;
  auto answer = error_response(why->status, "invalid", "invalid", why->reason, why->message);
  try {
    co_await send(std::move(answer));
    co_await linger();
  } catch (const http_error&) {
    close(); // the peer did not stay for its answer
  }
}

// Reads on for a moment: closing with bytes unread would reset the connection, and the peer might
// lose the response.
asio::awaitable<void> connection::linger()
{
  error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream_.expires_after(linger_time);
  std::array<char, first_read> scrap{};
  std::size_t left = state_->options.body_limit;
  while (!ec && left > 0) {
    const auto space = asio::buffer(scrap);
    const auto n = co_await stream_.async_read_some(space, redirect_error(use_awaitable, ec));
    left -= std::min(left, n);
  }
}

asio::awaitable<void> connection::answer(request received)
{
  phase_ = phase::waiting;
  response_open_ = true;
  ++state_->open_requests;
  stream_.expires_never();
  bool failed = false;
  try {
    co_await state_->on_request(std::move(received), *this);
  } catch (const std::exception&) {
    failed = true;
  }
  if (phase_ == phase::waiting) {
    auto whole = error_response(internal_status, "outcome-unknown", "outcome_unknown",
                                "internal_error", "the request ended without an answer");
    keep_alive_ = false;
    try {
      co_await send(std::move(whole));
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

asio::awaitable<void> connection::send(response whole)
{
  require(phase::waiting);
  keep_alive_ = keep_alive_ && !state_->draining;
  beast_http::response<beast_http::string_body> message;
  fill_head(whole, version_, keep_alive_, message);
  if (head_only_) {
    message.content_length(whole.body.size());
  } else {
    message.body() = std::move(whole.body);
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
  require(phase::waiting);
  const bool chunked = version_ == http_1_1;
  keep_alive_ = keep_alive_ && chunked && !state_->draining;
  beast_http::response<beast_http::empty_body> message;
  fill_head(head, version_, keep_alive_, message);
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
  require(phase::streaming);
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
  require(phase::streaming);
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
  watch_peer();
}

void connection::require(phase expected) const
{
  if (phase_ != expected) {
    throw broken_exchange_error("the response is finished, cut or not at this step");
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

void connection::watch_peer()
{
  if (watching_ || !on_closed_) {
    return;
  }
  watching_ = true;
  stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->watching_ = false;
    if (!ec) {
      self->on_readable();
    }
  });
}

// Bytes of a next request say that the peer is there: the watch ends, since it would fire again
// at once.
void connection::on_readable()
{
  char byte = 0;
  error_code ec;
  stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  if (!ec || !on_closed_) {
    return;
  }
  if (ec == asio::error::would_block) {
    watch_peer();
    return;
  }
  const auto on_closed = std::exchange(on_closed_, nullptr);
  on_closed();
}

} // namespace wisteriaflow::http::internal
