#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include "fakes/run.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class ClientTest : public testing::Test {
 protected:
  void start(handler on_request)
  {
    server_.emplace(context_, server_options{}, std::move(on_request));
  }

  // Handles each request by the next character of `script`: 'a' answers, 'c' closes the connection
  // without a response.
  void start_scripted(std::string script)
  {
    start([this, script](request, response_writer& w) -> asio::awaitable<void> {
      const char step = script.at(request_count_);
      ++request_count_;
      if (step == 'c') {
        w.abort();
        co_return;
      }
      response out;
      co_await w.send(std::move(out));
    });
  }

  response call(request message)
  {
    return fakes::call(context_, client_, server_->address(), std::move(message));
  }

  asio::io_context context_;
  client client_{context_};
  std::optional<server> server_;
  std::size_t request_count_ = 0;
};

TEST_F(ClientTest, SendsMethodTargetFieldsAndBody)
{
  request received;
  start([&](request r, response_writer& w) -> asio::awaitable<void> {
    received = r;
    response out{.status = 201, .body = "whole"};
    out.fields.push_back({.name = "X", .value = "y"});
    co_await w.send(std::move(out));
  });
  const auto out =
      call({.method = "PUT", .target = "/a?b", .fields = {{"Request-Id", "7"}}, .body = "text"});
  EXPECT_EQ(received.method + " " + received.target + " " + received.body, "PUT /a?b text");
  EXPECT_EQ(find_header(received.fields, "Request-Id"), "7");
  EXPECT_EQ(out.status, 201);
  EXPECT_EQ(find_header(out.fields, "X"), "y");
  EXPECT_EQ(out.body, "whole");
}

TEST_F(ClientTest, ReportsAConnectErrorWhenNoByteWasSent)
{
  socket_address unused_address;
  {
    tcp::acceptor bound(context_, {asio::ip::make_address("127.0.0.1"), 0});
    unused_address.port = bound.local_endpoint().port();
  }
  EXPECT_THROW(fakes::call(context_, client_, unused_address, {}), connect_error);
}

TEST_F(ClientTest, ReportsAConnectionClosedAfterSendingAsBroken)
{
  start_scripted("c");
  EXPECT_THROW(call({.method = "POST"}), broken_exchange_error);
  EXPECT_EQ(request_count_, 1U);
}

TEST_F(ClientTest, RetriesAGetOnAReusedConnectionOnce)
{
  start_scripted("aca");
  call({});
  EXPECT_EQ(call({}).status, 200);
  EXPECT_EQ(request_count_, 3U);
}

TEST_F(ClientTest, NeverRetriesAPost)
{
  start_scripted("aca");
  call({.method = "POST"});
  EXPECT_THROW(call({.method = "POST"}), broken_exchange_error);
  EXPECT_EQ(request_count_, 2U);
}

TEST_F(ClientTest, DiscardsAnIdleConnectionThatTheServerClosed)
{
  start_scripted("aa");
  const auto address = server_->address();
  call({.method = "POST"});
  server_.reset();
  context_.restart();
  context_.poll();
  server_.emplace(context_, server_options{.address = address},
                  [](request, response_writer& w) -> asio::awaitable<void> {
                    response out{.status = 202};
                    co_await w.send(std::move(out));
                  });
  EXPECT_EQ(call({.method = "POST"}).status, 202);
}

TEST_F(ClientTest, TimesOutAtTheDeadline)
{
  asio::steady_timer hold(context_, asio::steady_timer::time_point::max());
  start([&](request, response_writer&) -> asio::awaitable<void> {
    co_await hold.async_wait(asio::use_awaitable);
  });
  auto task = [&]() -> asio::awaitable<void> {
    const request message;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    co_await client_.call(server_->address(), message, deadline);
  };
  EXPECT_THROW(fakes::run(context_, task()), exchange_timeout_error);
}

TEST_F(ClientTest, SendsNothingAfterTheDeadline)
{
  start_scripted("a");
  auto task = [&]() -> asio::awaitable<void> {
    const request message;
    co_await client_.call(server_->address(), message, std::chrono::steady_clock::now());
  };
  EXPECT_THROW(fakes::run(context_, task()), connect_error);
  EXPECT_EQ(request_count_, 0U);
}

TEST_F(ClientTest, DeliversAStreamAsItArrives)
{
  start([](request, response_writer& w) -> asio::awaitable<void> {
    response head;
    co_await w.start_stream(head);
    co_await w.write_chunk("one ");
    co_await w.write_chunk("two");
    co_await w.finish_stream();
  });
  std::string text;
  stream_observer observer;
  observer.on_head = [&](const response& head) { text += std::to_string(head.status) + " "; };
  observer.on_bytes = [&](std::string_view bytes) { text += bytes; };
  fakes::run(context_, client_.stream(server_->address(), {}, fakes::far_deadline(), observer));
  EXPECT_EQ(text, "200 one two");
}

TEST_F(ClientTest, ReportsATruncatedStream)
{
  start([](request, response_writer& w) -> asio::awaitable<void> {
    response head;
    co_await w.start_stream(head);
    co_await w.write_chunk("part");
    w.abort();
  });
  EXPECT_THROW(
      fakes::run(context_, client_.stream(server_->address(), {}, fakes::far_deadline(), {})),
      broken_exchange_error);
}

TEST_F(ClientTest, CancelsAStream)
{
  asio::steady_timer hold(context_, asio::steady_timer::time_point::max());
  bool peer_closed = false;
  start([&](request, response_writer& w) -> asio::awaitable<void> {
    w.on_peer_closed([&] { peer_closed = true; });
    response head;
    co_await w.start_stream(head);
    co_await w.write_chunk("part");
    co_await hold.async_wait(asio::use_awaitable);
  });
  cancel_handle handle;
  stream_observer observer;
  observer.on_bytes = [&](std::string_view) { handle.cancel(); };
  EXPECT_THROW(fakes::run(context_, client_.stream(server_->address(), {}, fakes::far_deadline(),
                                                   observer, &handle)),
               broken_exchange_error);
  fakes::run_until(context_, [&] { return peer_closed; });
}

TEST_F(ClientTest, RejectsAFieldWithALineBreak)
{
  start_scripted("a");
  EXPECT_THROW(call({.fields = {{"X", "a\r\nInjected: b"}}}), http_error);
  EXPECT_EQ(request_count_, 0U);
}

} // namespace
} // namespace wisteriaflow::http
