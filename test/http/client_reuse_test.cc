#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "fakes/run.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Runs a server that answers each request with the next of a list of raw responses.
class ClientReuseTest : public testing::Test {
 protected:
  void serve_responses(std::vector<std::string> responses)
  {
    raw_responses_ = std::move(responses);
    address_.port = acceptor_.local_endpoint().port();
    asio::co_spawn(context_, accept(), asio::detached);
  }

  response call(client& c, request message = {})
  {
    return fakes::call(context_, c, address_, std::move(message));
  }

  // From now on, the current connections stay open without any response; new connections work.
  void stop_answering_current_connections() { last_unanswered_connection_ = connections_; }

  asio::io_context context_;
  tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
  socket_address address_;
  int connections_ = 0;

 private:
  asio::awaitable<void> accept()
  {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      ++connections_;
      asio::co_spawn(context_, serve(std::move(socket), connections_), asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket socket, int connection_number)
  {
    std::string buf(4096, ' ');
    boost::system::error_code ec;
    while (next_ < raw_responses_.size()) {
      co_await socket.async_read_some(asio::buffer(buf),
                                      asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      if (connection_number <= last_unanswered_connection_) {
        continue;
      }
      const auto response_text = raw_responses_.at(next_++);
      co_await asio::async_write(socket, asio::buffer(response_text),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  std::vector<std::string> raw_responses_;
  std::size_t next_ = 0;
  int last_unanswered_connection_ = 0;
};

std::string ok_response(const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST_F(ClientReuseTest, ReusesAConnectionWithoutKeepAliveTimeoutByDefault)
{
  serve_responses({ok_response("", "a"), ok_response("", "b")});
  client c(context_);
  call(c);
  EXPECT_EQ(call(c).body, "b");
  EXPECT_EQ(connections_, 1);
}

TEST_F(ClientReuseTest, ReusesOnlyWithinTheKeepAliveTimeoutIfRequired)
{
  serve_responses(
      {ok_response("", "a"), ok_response("Keep-Alive: timeout=5\r\n", "b"), ok_response("", "c")});
  client c(context_, {.require_keep_alive_timeout = true});
  call(c);
  call(c);
  EXPECT_EQ(connections_, 2);
  EXPECT_EQ(call(c).body, "c");
  EXPECT_EQ(connections_, 2);
}

TEST_F(ClientReuseTest, ClosesAConnectionWithBytesAfterTheResponse)
{
  serve_responses({ok_response("", "a") + "stray", ok_response("", "b")});
  client c(context_);
  call(c);
  EXPECT_EQ(call(c).body, "b");
  EXPECT_EQ(connections_, 2);
}

TEST_F(ClientReuseTest, SkipsAResponseThatIsNotExpected)
{
  serve_responses({ok_response("Id: old\r\n", "old") + ok_response("Id: new\r\n", "new")});
  client c(context_);
  std::string body;
  stream_observer observer;
  observer.on_bytes = [&](std::string_view bytes) { body += bytes; };
  observer.is_expected = [](const response& head) {
    return find_header(head.fields, "Id") == "new";
  };
  fakes::run(context_, c.stream(address_, {}, fakes::far_deadline(), observer));
  EXPECT_EQ(body, "new");
}

TEST_F(ClientReuseTest, AnUnresponsiveConnectionClosesTheOtherIdleOnes)
{
  serve_responses({ok_response("", "a"), ok_response("", "b"), ok_response("", "c")});
  client c(context_);
  const auto overlapping_calls = [&]() -> asio::awaitable<void> {
    // The first call still uses its connection when the second begins, so a second one is opened.
    stream_observer observer;
    observer.on_bytes_async = [&](std::string_view) -> asio::awaitable<void> {
      request second;
      co_await c.call(address_, std::move(second), fakes::far_deadline());
    };
    request first;
    co_await c.stream(address_, std::move(first), fakes::far_deadline(), observer);
  };
  fakes::run(context_, overlapping_calls());
  ASSERT_EQ(connections_, 2);
  stop_answering_current_connections();
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  const auto timed_out_call = [&]() -> asio::awaitable<void> {
    request third;
    co_await c.call(address_, std::move(third), deadline);
  };
  EXPECT_THROW(fakes::run(context_, timed_out_call()), exchange_timeout_error);
  EXPECT_EQ(call(c).body, "c");
  EXPECT_EQ(connections_, 3);
}

TEST_F(ClientReuseTest, AcceptsABodyThatEndsWhenTheConnectionCloses)
{
  serve_responses({"HTTP/1.1 200 OK\r\n\r\nall"});
  client c(context_);
  EXPECT_EQ(call(c).body, "all");
}

} // namespace
} // namespace wisteriaflow::http
