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
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "fakes/fault_proxy.h"
#include "fakes/free_addresses.h"
#include "relay/gateway_fixture.h"
#include "relay/relay_messages.h"
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
      link = std::make_unique<fault_proxy>(context_, links_host_, e.address());
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

  // Starts two daemons, and cuts the links of the first until it knows.
  void start_cut_off()
  {
    start(4, 2);
    reset_links();
    send_calls_for(detection_time);
    ASSERT_EQ(gauge(*gateways_[0], "cut_off_from_endpoints"), 1);
  }

  void set_behaviour(endpoint_behaviour behaviour)
  {
    for (const auto& e : endpoints_) {
      e->behaviour = behaviour;
    }
  }

  // Sends a call to the first daemon without waiting for the answer. Its status, or 0 if the
  // connection was closed, is appended to `statuses_`. The returned handle ends it.
  std::shared_ptr<http::cancel_handle> start_call(const std::string& path)
  {
    auto handle = std::make_shared<http::cancel_handle>();
    auto task = [this, handle, path]() -> boost::asio::awaitable<void> {
      int status = 0;
      http::stream_observer observer;
      observer.on_head = [&status](const http::response& head) { status = head.status; };
      auto message = request_for("POST", path);
      try {
        co_await client_.stream(gateways_[0]->options.callers, std::move(message),
                                std::chrono::steady_clock::now() + 20s, std::move(observer),
                                handle.get());
      } catch (const http::http_error&) {
        status = 0;
      }
      statuses_.push_back(status);
    };
    boost::asio::co_spawn(context_, std::move(task), boost::asio::detached);
    return handle;
  }

  [[nodiscard]] std::size_t received_requests() const
  {
    std::size_t n = 0;
    for (const auto& e : endpoints_) {
      n += e->received.size();
    }
    return n;
  }

  // Sends a request through the second daemon, as a peer without a link to the endpoint does.
  http::response relay(const std::string& endpoint, std::chrono::milliseconds time_left)
  {
    const auto now = std::chrono::steady_clock::now();
    auto message = request_for("POST", "/unsafe/1");
    const auto id = std::string(http::find_header(message.fields, "Request-Id"));
    return send(gateways_[1]->options.peers,
                encode_relay_request({.endpoint = endpoint_id(endpoint),
                                      .request_id = id,
                                      .deadline = now + time_left,
                                      .message = std::move(message)},
                                     now));
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

  // Not shared with other programs, which might listen on the port of a closed link.
  const std::string links_host_ = fakes::process_loopback_host(251);
  fake_store own_view_{context_, store_};
  std::map<std::string, std::unique_ptr<fault_proxy>> links_;
  std::vector<int> statuses_;
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
  set_behaviour(endpoint_behaviour::never_responds);
  for (int i = 0; i < 4; ++i) {
    start_call("/unsafe/" + std::to_string(i));
  }
  wait_until([this] { return received_requests() == 4; }, "the calls run");
  reset_links();
  wait_until([this] { return statuses_.size() == 4; }, "every call has ended");
  run_for(1s);
  EXPECT_EQ(gauge(*gateways_[0], "endpoint_crashes_known"), 0);
  EXPECT_EQ(gauge(*gateways_[1], "endpoint_crashes_known"), 0);
}

TEST_F(PartitionedDaemonTest, PassesAStreamThroughAPeerEventByEvent)
{
  start_cut_off();
  set_behaviour(endpoint_behaviour::streams);
  EXPECT_EQ(call("POST", "/stream/1").body,
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n"
            "id: 4\ndata: t4\n\nid: 5\ndata: t5\n\nid: 6\ndata: t6\n\n");
}

TEST_F(PartitionedDaemonTest, DoesNotEndATruncatedStreamOfAPeerAsComplete)
{
  start_cut_off();
  set_behaviour(endpoint_behaviour::streams_then_disconnects);
  EXPECT_THROW(call("POST", "/stream/1"), http::broken_exchange_error);
}

TEST_F(PartitionedDaemonTest, ReportsNotRunIfTheEndpointToldThePeerSo)
{
  start_cut_off();
  set_behaviour(endpoint_behaviour::refuses_not_executed);
  EXPECT_EQ(call("POST", "/unsafe/1").status, 503);
}

TEST_F(PartitionedDaemonTest, DoesNotReportNotRunIfThePeerIsLostAfterItSentTheCall)
{
  start_cut_off();
  set_behaviour(endpoint_behaviour::never_responds);
  const auto before = received_requests();
  start_call("/unsafe/1");
  wait_until([&] { return received_requests() > before; }, "the call runs");
  gateways_.pop_back();
  wait_until([this] { return !statuses_.empty(); }, "the call has ended");
  EXPECT_EQ(statuses_.front(), 502);
  EXPECT_EQ(received_requests(), before + 1);
}

TEST_F(PartitionedDaemonTest, EndsTheCallAtTheEndpointWhenTheCallerIsGone)
{
  start_cut_off();
  set_behaviour(endpoint_behaviour::never_responds);
  const auto before = received_requests();
  auto gone = start_call("/unsafe/1");
  wait_until([&] { return received_requests() > before; }, "the call runs");
  gone->cancel();
  wait_until(
      [this] {
        return std::any_of(endpoints_.begin(), endpoints_.end(),
                           [](const auto& e) { return e->abandoned > 0; });
      },
      "the endpoint's connection is closed");
}

TEST_F(PartitionedDaemonTest, RefusesCallsAtOnceWhenItsPeersAreCutOffToo)
{
  start(4, 1);
  start_gateway(own_view_);
  wait_until([this] { return gauge(*gateways_[0], "peers_live") == 1; }, "the daemons meet");
  reset_links();
  send_calls_for(detection_time);
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 503);
  EXPECT_NE(http::find_header(out.fields, "Retry-After"), "");
}

TEST_F(PartitionedDaemonTest, UsesItsOwnLinksAgainOnceTheyWork)
{
  start_cut_off();
  for (const auto& [id, link] : links_) {
    link->reopen();
  }
  wait_until(
      [this] {
        return gauge(*gateways_[0], "endpoint_links_lost") == 0 &&
               gauge(*gateways_[0], "cut_off_from_endpoints") == 0;
      },
      "the links are in use again");
  EXPECT_EQ(answered_of(5, "/unsafe/1"), 5);
}

TEST_F(PartitionedDaemonTest, ServesCallsWhileOnlyNewConnectionsAreRefused)
{
  start(4, 2);
  EXPECT_EQ(answered_of(5, "/unsafe/1"), 5);
  for (const auto& [id, link] : links_) {
    link->refuse_new_connections();
  }
  EXPECT_EQ(answered_of(20, "/unsafe/1"), 20);
}

TEST_F(PartitionedDaemonTest, AnEndpointThatIsDownForItsPeersTooIsLeftOut)
{
  start(4, 2);
  EXPECT_EQ(answered_of(5, "/unsafe/1"), 5);
  endpoints_[0]->close();
  links_["i-1"]->close();
  EXPECT_EQ(answered_of(20, "/unsafe/1"), 20);
  EXPECT_EQ(gauge(*gateways_[0], "cut_off_from_endpoints"), 0);
}

TEST_F(PartitionedDaemonTest, BothDaemonsLogACallUnderItsRequestId)
{
  start_cut_off();
  auto message = request_for("POST", "/unsafe/1");
  const auto id = std::string(http::find_header(message.fields, "Request-Id"));
  EXPECT_EQ(send(gateways_[0]->options.callers, std::move(message)).status, 200);
  // The peer logs the call after it has passed the answer on.
  for (const auto& g : gateways_) {
    wait_until([&] { return !g->lines_for_request(id).empty(); },
               (g->options.id.value() + " logs the call").c_str());
  }
}

TEST_F(PartitionedDaemonTest, APeerPassesOnNoCallToAnEndpointThatLeaves)
{
  start(1, 2);
  write_endpoint(*endpoints_[0], "draining");
  run_for(3s);
  EXPECT_EQ(relay_result_of(relay("i-1", 1s)), relay_result::refused);
  EXPECT_EQ(received_requests(), 0U);
}

TEST_F(PartitionedDaemonTest, APeerStatesTheTimeLeftToTheEndpoint)
{
  start(1, 2);
  EXPECT_EQ(relay_result_of(relay("i-1", 700ms)), relay_result::answered);
  const auto& fields = endpoints_[0]->received.at(0).fields;
  const auto stated = std::stoi(std::string(http::find_header(fields, "Deadline-Ms")));
  EXPECT_LE(stated, 700);
  EXPECT_GT(stated, 0);
}

TEST_F(PartitionedDaemonTest, APeerWhoseProcessEndsSaysSoOfACallThatItCarries)
{
  start(1, 2);
  set_behaviour(endpoint_behaviour::never_responds);
  endpoints_[0]->on_request = [this] { gateways_[1]->daemon.drain(); };
  EXPECT_EQ(relay_result_of(relay("i-1", 20s)), relay_result::abandoned);
}

TEST_F(PartitionedDaemonTest, APeerKeepsItsOwnFieldsFromTheEndpoint)
{
  start(1, 2);
  relay("i-1", 1s);
  for (const auto& field : endpoints_[0]->received.at(0).fields) {
    EXPECT_FALSE(field.name.starts_with("Wisteriaflow-")) << field.name;
  }
}

} // namespace
} // namespace wisteriaflow::relay
