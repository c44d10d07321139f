// Daemons that have lost their links to endpoints.
//
// Guards against a daemon that callers, the store and its peers reach, but that cannot connect to
// any endpoint: it tried four endpoints and answered 503, although its peers reached all of them,
// and it told the fleet that the endpoints had ended under its calls.

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "fakes/fault_proxy.h"
#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;
using fakes::fault_proxy;
using fakes::network_fault;

// Within this time after its links are cut, a daemon must serve calls as the others do.
constexpr auto detection_time = 3s;

// The daemon at index 0 reaches each endpoint through a proxy of its own; its peers connect to the
// endpoints themselves.
class PartitionedDaemonTest : public gateway_fixture {
 protected:
  void start(int endpoints, int daemons)
  {
    for (int i = 1; i <= endpoints; ++i) {
      auto& e = add_endpoint("i-" + std::to_string(i));
      auto& link = links_[e.id()];
      link = std::make_unique<fault_proxy>(context_, "127.0.0.1", e.address());
      own_view_.endpoint_addresses[e.id()] = link->address();
    }
    start_gateway(own_view_);
    start_fleet(daemons - 1);
  }

  // Cuts the first daemon's links to all endpoints: connections are reset and new ones refused.
  void reset_links()
  {
    for (const auto& [id, link] : links_) {
      link->close();
    }
  }

  // The same, but open connections fall silent and new ones hang.
  void silence_links()
  {
    for (const auto& [id, link] : links_) {
      link->set(network_fault::silent);
      link->hang_new_connections();
    }
  }

  // Sends calls to the first daemon for `time`.
  void send_calls_for(std::chrono::milliseconds time)
  {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      status_of("/unsafe/1");
      run_for(50ms);
    }
  }

  // Sends a call to the first daemon. Returns its status, or 0 if the connection was closed.
  int status_of(const std::string& path)
  {
    try {
      return call("POST", path).status;
    } catch (const http::http_error&) {
      return 0;
    }
  }

  int answered_of(int calls, const std::string& path)
  {
    int n = 0;
    for (int i = 0; i < calls; ++i) {
      n += status_of(path) == 200 ? 1 : 0;
    }
    return n;
  }

  // The value of a gauge at a daemon. Fails the test if it is not on the daemon's metrics page.
  double gauge(const running_gateway& g, const std::string& name)
  {
    const auto page = send(g.options.peers, {.target = "/metrics"}).body;
    const auto line = "\nwisteriaflow_gateway_" + name + " ";
    const auto at = page.find(line);
    if (at == std::string::npos) {
      ADD_FAILURE() << "no gauge " << name;
      return 0;
    }
    return std::stod(page.substr(at + line.size()));
  }

  fake_store own_view_{context_, store_};
  std::map<std::string, std::unique_ptr<fault_proxy>> links_;
};

TEST_F(PartitionedDaemonTest, ServesCallsWhileConnectionsToAllEndpointsAreRefused)
{
  start(4, 2);
  EXPECT_EQ(answered_of(5, "/unsafe/1"), 5);
  reset_links();
  send_calls_for(detection_time);
  EXPECT_EQ(answered_of(20, "/unsafe/1"), 20);
}

TEST_F(PartitionedDaemonTest, ServesCallsWhileConnectionsToAllEndpointsHang)
{
  start(4, 2);
  EXPECT_EQ(answered_of(5, "/unsafe/1"), 5);
  silence_links();
  send_calls_for(detection_time);
  EXPECT_EQ(answered_of(20, "/unsafe/1"), 20);
}

TEST_F(PartitionedDaemonTest, TellsPeersOfNoCrashWhenOnlyItsOwnLinksBreak)
{
  start(4, 2);
  for (const auto& e : endpoints_) {
    e->behaviour = endpoint_behaviour::never_responds;
  }
  auto& cut = *gateways_.front();
  std::size_t ended = 0;
  for (int i = 0; i < 4; ++i) {
    auto task = [&]() -> boost::asio::awaitable<void> {
      auto message = request_for("POST", "/unsafe/" + std::to_string(ended));
      try {
        co_await client_.call(cut.options.callers, message, std::chrono::steady_clock::now() + 10s);
      } catch (const http::http_error&) { // the connection may be closed instead of answered
      }
      ++ended;
    };
    boost::asio::co_spawn(context_, task, boost::asio::detached);
  }
  wait_until(
      [this] {
        return std::any_of(endpoints_.begin(), endpoints_.end(),
                           [](const auto& e) { return !e->received.empty(); });
      },
      "a call runs at an endpoint");
  reset_links();
  wait_until([&] { return ended == 4; }, "every call has ended");
  run_for(1s);
  EXPECT_EQ(gauge(*gateways_[0], "endpoint_crashes_known"), 0);
  EXPECT_EQ(gauge(*gateways_[1], "endpoint_crashes_known"), 0);
}

} // namespace
} // namespace wisteriaflow::relay
