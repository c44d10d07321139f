#include <functional>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "fakes/run.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

asio::awaitable<void> echo(request r, response_writer& w)
{
  response out;
  out.body = std::move(r.body);
  co_await w.send(std::move(out));
}

class ServerTest : public testing::Test {
 protected:
  void start(server_options options, handler on_request)
  {
    server_.emplace(context_, options, std::move(on_request));
  }

  tcp::socket connect()
  {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_->address().port});
    return socket;
  }

  // Writes `text` and returns everything received until the server closes the connection.
  std::string exchange(tcp::socket& socket, std::string text)
  {
    std::string out;
    auto task = [&]() -> asio::awaitable<void> {
      boost::system::error_code ec;
      const auto bytes = asio::buffer(text);
      co_await asio::async_write(socket, bytes, asio::redirect_error(asio::use_awaitable, ec));
      std::string part(4096, '\0');
      ec = {};
      while (!ec) {
        const auto space = asio::buffer(part);
        const auto n =
            co_await socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, ec));
        out.append(part, 0, n);
      }
    };
    fakes::run(context_, task());
    return out;
  }

  std::string exchange(std::string text)
  {
    auto socket = connect();
    return exchange(socket, std::move(text));
  }

  asio::io_context context_;
  std::optional<server> server_;
};

TEST_F(ServerTest, AnswersRequestsOfOneConnectionInOrder)
{
  start({}, echo);
  const auto out = exchange("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na"
                            "POST / HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb");
  EXPECT_LT(out.find("\r\n\r\na"), out.find("\r\n\r\nb")) << out;
  EXPECT_NE(out.find("\r\n\r\nb"), std::string::npos) << out;
}

TEST_F(ServerTest, RejectsAnOversizedHeaderAsInvalid)
{
  start({.header_limit = 256}, echo);
  const auto out = exchange("GET / HTTP/1.1\r\nX: " + std::string(1000, 'x') + "\r\n\r\n");
  EXPECT_EQ(out.substr(0, 12), "HTTP/1.1 431") << out;
  EXPECT_NE(out.find("Wisteriaflow-Outcome: invalid"), std::string::npos) << out;
  EXPECT_NE(out.find(R"("type":"invalid","reason":"header_too_large")"), std::string::npos) << out;
}

TEST_F(ServerTest, RejectsAnOversizedBodyAsInvalid)
{
  start({.body_limit = 10}, echo);
  const auto out = exchange("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  EXPECT_EQ(out.substr(0, 12), "HTTP/1.1 413") << out;
}

TEST_F(ServerTest, RejectsAnOversizedChunkedBodyAsInvalid)
{
  start({.body_limit = 10}, echo);
  const auto out = exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "b\r\n01234567890\r\n0\r\n\r\n");
  EXPECT_EQ(out.substr(0, 12), "HTTP/1.1 413") << out;
}

TEST_F(ServerTest, RejectsMalformedHttpAsInvalid)
{
  start({}, echo);
  const auto out = exchange("nonsense\r\n\r\n");
  EXPECT_EQ(out.substr(0, 12), "HTTP/1.1 400") << out;
  EXPECT_NE(out.find("Wisteriaflow-Outcome: invalid"), std::string::npos) << out;
}

TEST_F(ServerTest, ClosesTheConnectionOfASlowWriter)
{
  start({.read_timeout = std::chrono::milliseconds(20)}, echo);
  EXPECT_EQ(exchange("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"), "");
}

TEST_F(ServerTest, ClosesTheConnectionOfASlowReader)
{
  bool write_failed = false;
  start({.write_timeout = std::chrono::milliseconds(20)},
        [&](request, response_writer& w) -> asio::awaitable<void> {
          response head;
          co_await w.start_stream(head);
          const std::string chunk(1 << 20, 'x');
          try {
            while (true) {
              co_await w.write_chunk(chunk);
            }
          } catch (const broken_exchange_error&) {
            write_failed = true;
          }
        });
  auto socket = connect();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  fakes::run_until(context_, [&] { return write_failed; });
  EXPECT_TRUE(write_failed);
}

TEST_F(ServerTest, NotifiesAWaitingHandlerThatThePeerClosed)
{
  bool peer_closed = false;
  bool waiting = false;
  asio::steady_timer hold(context_, asio::steady_timer::time_point::max());
  start({}, [&](request, response_writer& w) -> asio::awaitable<void> {
    w.on_peer_closed([&] {
      peer_closed = true;
      hold.cancel();
    });
    waiting = true;
    boost::system::error_code ec;
    co_await hold.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    response out;
    co_await w.send(std::move(out));
  });
  auto socket = connect();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  fakes::run_until(context_, [&] { return waiting; });
  EXPECT_EQ(server_->open_requests(), 1U);
  socket.close();
  fakes::run_until(context_, [&] { return peer_closed && server_->open_requests() == 0; });
  EXPECT_TRUE(peer_closed);
}

TEST_F(ServerTest, AnswersAHandlerExceptionWithStatus500)
{
  start({}, [](request, response_writer&) -> asio::awaitable<void> {
    throw http_error("fault");
    co_return;
  });
  const auto out = exchange("GET / HTTP/1.1\r\n\r\n");
  EXPECT_EQ(out.substr(0, 12), "HTTP/1.1 500") << out;
}

TEST_F(ServerTest, AbortsAStreamWhoseHandlerThrows)
{
  start({}, [](request, response_writer& w) -> asio::awaitable<void> {
    response head;
    co_await w.start_stream(head);
    co_await w.write_chunk("part");
    throw http_error("fault");
  });
  const auto out = exchange("GET / HTTP/1.1\r\n\r\n");
  EXPECT_NE(out.find("part"), std::string::npos) << out;
  EXPECT_EQ(out.find("0\r\n\r\n"), std::string::npos) << "the cut stream looks complete: " << out;
}

TEST_F(ServerTest, StreamsToAnHttp10Client)
{
  start({}, [](request, response_writer& w) -> asio::awaitable<void> {
    response head;
    co_await w.start_stream(head);
    co_await w.write_chunk("one ");
    co_await w.write_chunk("two");
    co_await w.finish_stream();
  });
  const auto out = exchange("GET / HTTP/1.0\r\n\r\n");
  EXPECT_EQ(out.substr(out.find("\r\n\r\n")), "\r\n\r\none two");
}

TEST_F(ServerTest, AnswersARequestReceivedWhileDraining)
{
  start({}, echo);
  auto socket = connect();
  context_.poll();
  server_->stop_accepting();
  const auto out = exchange(socket, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nlast");
  EXPECT_NE(out.find("Connection: close"), std::string::npos) << out;
  EXPECT_EQ(out.substr(out.find("\r\n\r\n")), "\r\n\r\nlast");
}

TEST_F(ServerTest, AnswersARequestThatWaitsWhenIdleConnectionsAreClosedAtOnce)
{
  start({}, echo);
  auto socket = connect();
  boost::asio::write(socket, boost::asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
  server_->stop_accepting(std::chrono::milliseconds(0));
  const auto out = exchange(socket, "");
  EXPECT_TRUE(out.starts_with("HTTP/1.1 200")) << out;
}

TEST_F(ServerTest, ClosesIdleConnectionsAtOnceIfToldTo)
{
  start({}, echo);
  auto socket = connect();
  context_.poll();
  EXPECT_EQ(server_->connections(), 1U);
  EXPECT_EQ(server_->busy_connections(), 0U);
  server_->stop_accepting(std::chrono::milliseconds(0));
  context_.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(server_->connections(), 0U);
}

TEST_F(ServerTest, RejectsConnectionsWhileDraining)
{
  start({}, echo);
  server_->stop_accepting();
  EXPECT_THROW(connect(), boost::system::system_error);
}

TEST_F(ServerTest, ClosesConnectionsOverTheLimit)
{
  start({.connection_limit = 1}, echo);
  auto first = connect();
  context_.poll();
  EXPECT_EQ(exchange("GET / HTTP/1.1\r\n\r\n"), "");
}

TEST_F(ServerTest, RejectsAnAddressInUse)
{
  start({}, echo);
  EXPECT_THROW(server(context_, {.address = server_->address()}, echo), http_error);
}

} // namespace
} // namespace wisteriaflow::http
