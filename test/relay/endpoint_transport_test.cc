// What a daemon concludes from the way in which a peer deals with a call.

#include <chrono>
#include <functional>
#include <optional>

#include <gtest/gtest.h>

#include "fakes/run.h"
#include "relay/endpoint_transport.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class EndpointTransportTest : public testing::Test {
 protected:
  EndpointTransportTest()
  {
    const gateway::daemon_contact peer{
        .id = daemon_id("d2"), .peer_address = peer_.address(), .ready = true};
    state_.merge_report({.self = peer}, read_clocks());
    const auto now = std::chrono::steady_clock::now();
    state_.links.on_connect_failure(id_, now, now);
  }

  // Sends a request to the endpoint, whose link is lost. Throws what the exchange throws.
  void exchange() { exchange(id_, {.port = 1}, endpoint_transport::own_link::preferred); }

  // Sends a request to the endpoint, which has this address.
  void exchange(const endpoint_id& id, const http::socket_address& address,
                endpoint_transport::own_link link)
  {
    auto task = [&]() -> boost::asio::awaitable<void> {
      endpoint_request request{
          .endpoint = id, .request_id = "r1", .deadline = fakes::far_deadline()};
      http::stream_observer observer{.on_head = [](const http::response&) {},
                                     .is_expected = [](const http::response&) { return true; }};
      observer.on_bytes_async = [](std::string_view) -> boost::asio::awaitable<void> { co_return; };
      http::cancel_handle handle;
      co_await transport_.exchange(std::move(request), address, link, std::move(observer), handle,
                                   relay_);
    };
    fakes::run(context_, task());
  }

  const endpoint_id id_{"i-1"};
  boost::asio::io_context context_;
  std::optional<daemon_id> relay_;
  http::response answer_;
  http::server peer_{
      context_,
      {},
      [this](http::request, http::response_writer& w) -> boost::asio::awaitable<void> {
        auto out = answer_;
        co_await w.send(std::move(out));
      }};
  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state state_{settings{.id = daemon_id("d1"), .usage_window = 5s}, log_};
  link_checker checker_{context_, state_};
  endpoint_transport transport_{context_, state_, checker_};
};

TEST_F(EndpointTransportTest, APeerThatFailsMayHaveSentTheCall)
{
  answer_ = {.status = 500};
  EXPECT_THROW(exchange(), relay_lost_error);
}

TEST_F(EndpointTransportTest, APeerOfAnEarlierVersionHasNotSentTheCall)
{
  answer_ = {.status = 404};
  EXPECT_THROW(exchange(), http::connect_error);
}

TEST_F(EndpointTransportTest, APeerThatRefusesHasNotSentTheCall)
{
  answer_ = with_relay_result({.status = 502}, relay_result::refused);
  EXPECT_THROW(exchange(), http::connect_error);
}

// Guards against calls that fail because peers refuse them, although this daemon's own link works:
// a resumed stream was given up beside calls that the same endpoint answered.
TEST_F(EndpointTransportTest, ALinkThatIsNotLostIsUsedIfPeersRefuse)
{
  const http::server endpoint(
      context_, {}, [](http::request, http::response_writer& w) -> boost::asio::awaitable<void> {
        http::response out{.status = 200};
        co_await w.send(std::move(out));
      });
  answer_ = with_relay_result({.status = 502}, relay_result::refused);
  for (int i = 0; i < 2; ++i) { // after a refusal, the peer counts as full for a while
    EXPECT_NO_THROW(
        exchange(endpoint_id("i-2"), endpoint.address(), endpoint_transport::own_link::avoided));
    EXPECT_EQ(relay_, std::nullopt);
  }
  EXPECT_THROW(
      exchange(endpoint_id("i-2"), endpoint.address(), endpoint_transport::own_link::barred),
      http::connect_error);
}

TEST_F(EndpointTransportTest, AnEndpointThatThePeerCannotReachEitherIsUnreachable)
{
  answer_ = with_relay_result({.status = 502}, relay_result::unreachable);
  EXPECT_THROW(exchange(), endpoint_unreachable_error);
}

TEST_F(EndpointTransportTest, AnExchangeThatBrokeOffAtThePeerMayHaveRun)
{
  answer_ = with_relay_result({.status = 502}, relay_result::interrupted);
  EXPECT_THROW(exchange(), http::broken_exchange_error);
}

TEST_F(EndpointTransportTest, AnExchangeThatEndedWithThePeersProcessIsALossOfThePeer)
{
  answer_ = with_relay_result({.status = 502}, relay_result::abandoned);
  EXPECT_THROW(exchange(), relay_lost_error);
}

TEST_F(EndpointTransportTest, AnAnswerOfTheEndpointEndsTheExchange)
{
  answer_ = with_relay_result({.status = 200, .body = "text"}, relay_result::answered);
  EXPECT_NO_THROW(exchange());
}

} // namespace
} // namespace wisteriaflow::relay
