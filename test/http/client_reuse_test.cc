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

// A server that answers each request on a connection with the next of some raw texts.
class ClientReuseTest : public testing::Test {
 protected:
  void answer_with(std::vector<std::string> texts)
  {
    texts_ = std::move(texts);
    address_.port = acceptor_.local_endpoint().port();
    asio::co_spawn(context_, accept(), asio::detached);
  }

  response call(client& c, request message = {})
  {
    return fakes::call(context_, c, address_, std::move(message));
  }

  // The connections that stand now give no answer any more, and stay open; new ones work.
  void silence() { silent_up_to_ = connections_; }

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

  asio::awaitable<void> serve(tcp::socket socket, int number)
  {
    std::string buf(4096, ' ');
    boost::system::error_code ec;
    while (next_ < texts_.size()) {
      co_await socket.async_read_some(asio::buffer(buf),
                                      asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      if (number <= silent_up_to_) {
        continue;
      }
      const auto text = texts_.at(next_++);
      co_await asio::async_write(socket, asio::buffer(text),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  std::vector<std::string> texts_;
  std::size_t next_ = 0;
  int silent_up_to_ = 0;
};

std::string whole(const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST_F(ClientReuseTest, ReusesAConnectionWithoutAStatedTimeByDefault)
{
  answer_with({whole("", "a"), whole("", "b")});
  client c(context_);
  call(c);
  EXPECT_EQ(call(c).body, "b");
  EXPECT_EQ(connections_, 1);
}

TEST_F(ClientReuseTest, ReusesOnlyWithinAStatedTimeIfTold)
{
  answer_with({whole("", "a"), whole("Keep-Alive: timeout=5\r\n", "b"), whole("", "c")});
  client c(context_, {.only_stated_keep_alive = true});
  call(c);
  call(c);
  EXPECT_EQ(connections_, 2);
  EXPECT_EQ(call(c).body, "c");
  EXPECT_EQ(connections_, 2);
}

TEST_F(ClientReuseTest, DropsAConnectionWithBytesBeyondTheResponse)
{
  answer_with({whole("", "a") + "stray", whole("", "b")});
  client c(context_);
  call(c);
  EXPECT_EQ(call(c).body, "b");
  EXPECT_EQ(connections_, 2);
}

TEST_F(ClientReuseTest, SkipsAResponseThatIsNotExpected)
{
  answer_with({whole("Id: old\r\n", "old") + whole("Id: new\r\n", "new")});
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

TEST_F(ClientReuseTest, OneSilentConnectionTakesTheOtherIdleOnesWithIt)
{
  answer_with({whole("", "a"), whole("", "b"), whole("", "c")});
  client c(context_);
  const auto twice = [&]() -> asio::awaitable<void> {
    // The first call still has its connection when the second begins.
    stream_observer observer;
    observer.write_bytes = [&](std::string_view) -> asio::awaitable<void> {
      request second;
      co_await c.call(address_, std::move(second), fakes::far_deadline());
    };
    request first;
    co_await c.stream(address_, std::move(first), fakes::far_deadline(), observer);
  };
  fakes::run(context_, twice());
  ASSERT_EQ(connections_, 2);
  silence();
  const auto soon = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  const auto in_vain = [&]() -> asio::awaitable<void> {
    request third;
    co_await c.call(address_, std::move(third), soon);
  };
  EXPECT_THROW(fakes::run(context_, in_vain()), exchange_timeout_error);
  EXPECT_EQ(call(c).body, "c");
  EXPECT_EQ(connections_, 3);
}

TEST_F(ClientReuseTest, TakesABodyThatEndsWithItsConnection)
{
  answer_with({"HTTP/1.1 200 OK\r\n\r\nall"});
  client c(context_);
  EXPECT_EQ(call(c).body, "all");
}

} // namespace
} // namespace wisteriaflow::http
