// Requests that crash the endpoints that run them.
//
// Guards against one request that crashes a model server each time it is run, and whose caller
// repeats it with new ids at any daemon. Daemons that did not relate the attempts to each other
// only excluded the endpoint that had broken off and sent the request to the next one: one such
// request ended 17 endpoints, another 25. For 28 of 29 crashes the log had these lines, beside
// those of requests that only ran on the same endpoint:
//
//   "attempt failed" attempt=1 status=200 events=0 since_arrival_ms=183
//                    reason="the exchange with ADDRESS broke off: partial message"
//   "call given up"  attempts=1 connect_failures=0 serving=12 status=502
//
// From three seconds after such a request has ended a third endpoint, it may be sent at most three
// more times.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fakes/run.h"
#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

constexpr const char* crash_body = R"({"prompt":"the one that ends servers"})";
constexpr std::size_t crashes_before_hold = 3;
constexpr auto propagation_time = 3s; // within which every daemon must know of a crash
constexpr std::size_t max_allowed_sends = 3;

class CrashingRequestTest : public gateway_fixture {
 protected:
  // Adds `number` endpoints that end by any request below /unsafe/deadly or /resumable/deadly.
  void add_endpoints(int number)
  {
    for (int i = 0; i < number; ++i) {
      auto& e = add_endpoint("i-" + std::to_string(++last_endpoint_));
      e.on_request = [&e] {
        const bool crashes = e.received.back().path.find("/deadly") != std::string::npos;
        e.crash_path = crashes ? e.received.back().path : "";
      };
    }
  }

  static http::request crash_request(const std::string& path)
  {
    auto message = request_for("POST", path);
    message.body = crash_body;
    return message;
  }

  // Sends the crash request with a new id. Returns the status, or 0 if the connection was closed.
  int send_crash_request(const running_gateway& to, const std::string& path = "/unsafe/deadly")
  {
    try {
      return send(to.options.callers, crash_request(path)).status;
    } catch (const http::http_error&) {
      return 0;
    }
  }

  [[nodiscard]] std::size_t received_requests() const
  {
    std::size_t n = 0;
    for (const auto& e : endpoints_) {
      n += e->received.size();
    }
    return n;
  }

  // The daemon's metrics page.
  std::string metrics_of(const running_gateway& g)
  {
    return send(g.options.peers, {.target = "/metrics"}).body;
  }

  [[nodiscard]] std::size_t ended_endpoints() const
  {
    std::size_t n = 0;
    for (const auto& e : endpoints_) {
      n += e->has_ended() ? 1 : 0;
    }
    return n;
  }

  // Sends the crash request to the daemons in turn until three endpoints have ended, and waits
  // until every daemon must know of it.
  void reach_hold_threshold(const std::string& path = "/unsafe/deadly")
  {
    for (std::size_t i = 0; ended_endpoints() < crashes_before_hold; ++i) {
      ASSERT_LT(i, 100U) << "the endpoints do not end";
      send_crash_request(*gateways_.at(i % gateways_.size()), path);
    }
    run_for(propagation_time);
  }

  // Sends the crash request `times` times to each daemon.
  void send_to_each_daemon(int times, const std::string& path = "/unsafe/deadly")
  {
    for (int i = 0; i < times; ++i) {
      for (const auto& g : gateways_) {
        send_crash_request(*g, path);
      }
    }
  }

  // Sends the crash request four times to each daemon and expects that no more than the allowed
  // number of endpoints end.
  void expect_held(const std::string& path = "/unsafe/deadly")
  {
    const auto before = ended_endpoints();
    send_to_each_daemon(4, path);
    EXPECT_LE(ended_endpoints() - before, max_allowed_sends);
  }

  int last_endpoint_ = 0;
};

TEST_F(CrashingRequestTest, IsHeldWhicheverDaemonItReaches)
{
  add_endpoints(12);
  start_fleet(3);
  reach_hold_threshold();
  expect_held();
}

TEST_F(CrashingRequestTest, IsHeldOnARouteWithResumableStreams)
{
  add_endpoints(12);
  start_fleet(2);
  reach_hold_threshold("/resumable/deadly");
  expect_held("/resumable/deadly");
}

TEST_F(CrashingRequestTest, IsHeldAfterAllDaemonsWereReplaced)
{
  add_endpoints(12);
  start_fleet(2);
  reach_hold_threshold();
  gateways_.clear();
  start_fleet(2);
  expect_held();
}

TEST_F(CrashingRequestTest, IsHeldWhenItArrivesSeveralTimesConcurrently)
{
  add_endpoints(24);
  start_fleet(3);
  for (int i = 0; ended_endpoints() < crashes_before_hold && i < 100; ++i) {
    for (const auto& g : gateways_) {
      start_request(*g, crash_request("/unsafe/deadly"));
    }
    take_statuses();
  }
  run_for(propagation_time);
  const auto before = ended_endpoints();
  for (int i = 0; i < 4; ++i) {
    for (const auto& g : gateways_) {
      start_request(*g, crash_request("/unsafe/deadly"));
      start_request(*g, crash_request("/unsafe/deadly"));
    }
    take_statuses();
  }
  EXPECT_LE(ended_endpoints() - before, max_allowed_sends);
}

// Guards against evidence that clears a content as soon as its answer has begun: one that ends its
// endpoint later in the answer would never be held.
class AnswerThatCrashesTest : public CrashingRequestTest, public testing::WithParamInterface<int> {
 protected:
  static constexpr auto pace = 100ms;
  static constexpr auto interval = 700ms;

  void add_streaming_endpoints(int number)
  {
    for (int i = 0; i < number; ++i) {
      auto& e = add_endpoint("i-" + std::to_string(++last_endpoint_));
      e.behaviour = endpoint_behaviour::streams;
      e.pace = pace;
      e.last_event = 45;
      e.crash_path = "/stream/deadly";
      e.last_event_before_crash = GetParam();
    }
  }

  // For the time, sends a popular sound request each 100 ms, and the crash request each `interval`,
  // `batch` times at once, to the daemons in turn. Stops when three endpoints have ended if
  // `until_held`.
  void send_both(std::chrono::milliseconds time, int batch, bool until_held)
  {
    for (int i = 0; i * 100ms < time; ++i) {
      const auto& to = *gateways_[static_cast<std::size_t>(i) % gateways_.size()];
      auto popular = request_for("POST", "/stream/popular");
      popular.body = "sent by many callers";
      start_request(to, std::move(popular));
      for (int n = 0; i % (interval / 100ms) == 0 && n < batch; ++n) {
        start_request(to, crash_request("/stream/deadly"));
      }
      run_for(100ms);
      if (until_held && ended_endpoints() >= crashes_before_hold) {
        return;
      }
    }
  }

  void expect_held_within(int endpoints, int batch)
  {
    add_streaming_endpoints(endpoints);
    start_fleet(3);
    send_both(30s, batch, true);
    ASSERT_GE(ended_endpoints(), crashes_before_hold);
    send_both(propagation_time + GetParam() * pace, batch, false);
    const auto before = ended_endpoints();
    RecordProperty("ended", std::to_string(before));
    EXPECT_LT(before, static_cast<std::size_t>(endpoints));
    send_both(4s + GetParam() * pace, batch, false);
    EXPECT_EQ(ended_endpoints(), before);
    take_statuses();
    // By now no request runs that might have cleared it.
    EXPECT_EQ(send_crash_request(*gateways_[0], "/stream/deadly"), 400);
  }
};

TEST_P(AnswerThatCrashesTest, IsHeldBesideAPopularOne)
{
  expect_held_within(16, 1);
}

TEST_P(AnswerThatCrashesTest, IsHeldWhenManyCallersSendItAtOnce)
{
  expect_held_within(30, 6);
}

TEST_P(AnswerThatCrashesTest, IsHeldAfterTwelveCallersSentItAtOnce)
{
  add_streaming_endpoints(24);
  start_fleet(3);
  send_both(interval, 12, false);
  send_both(propagation_time + GetParam() * pace, 0, false);
  const auto before = ended_endpoints();
  ASSERT_GE(before, crashes_before_hold);
  send_both(4s + GetParam() * pace, 12, false);
  EXPECT_EQ(ended_endpoints(), before);
}

INSTANTIATE_TEST_SUITE_P(AfterEvents, AnswerThatCrashesTest, testing::Values(1, 15, 40),
                         testing::PrintToStringParamName());

TEST_F(CrashingRequestTest, IsHeldByADaemonThatStartsWhileTheStoreIsUnavailable)
{
  add_endpoints(12);
  start_fleet(2);
  reach_hold_threshold();
  store_.unavailable = true;
  auto& third = start_gateway(store_);
  wait_until([&] { return metrics_of(third).find("contents_held 1\n") != std::string::npos; },
             "the daemon knows the hold");
  // While the store is unavailable, the daemon knows no endpoints, or those that peers report. In
  // either case none may end.
  const auto before = ended_endpoints();
  for (int i = 0; i < 4; ++i) {
    send_crash_request(third);
  }
  EXPECT_EQ(ended_endpoints(), before);
}

TEST_F(CrashingRequestTest, IsHeldWhileTheStoreIsUnavailable)
{
  add_endpoints(12);
  start_fleet(3);
  store_.unavailable = true;
  reach_hold_threshold();
  expect_held();
}

TEST_F(CrashingRequestTest, IsRefusedAtOnceWithAStatusThatCallersDoNotRetry)
{
  add_endpoints(12);
  start_fleet(1);
  reach_hold_threshold();
  const auto before = received_requests();
  const auto out = send(gateways_[0]->options.callers, crash_request("/unsafe/deadly"));
  EXPECT_EQ(out.status, 400);
  EXPECT_EQ(http::find_header(out.fields, "Retry-After"), "");
  EXPECT_NE(out.body.find("not run"), std::string::npos);
  EXPECT_EQ(received_requests(), before);
}

TEST_F(CrashingRequestTest, LogsWhyItWasRefused)
{
  add_endpoints(12);
  start_fleet(1);
  reach_hold_threshold();
  const auto message = crash_request("/unsafe/deadly");
  send(gateways_[0]->options.callers, message);
  const auto id = std::string(http::find_header(message.fields, "Request-Id"));
  const auto lines = gateways_[0]->lines_for_request(id);
  ASSERT_EQ(lines.size(), 1U);
  const auto field = [&](const std::string& name) {
    const auto& all = lines[0].fields;
    const auto it = std::find_if(all.begin(), all.end(), [&](auto& f) { return f.first == name; });
    return it == all.end() ? std::string() : it->second;
  };
  EXPECT_EQ(field("reason"), "not run: requests like it have ended endpoints");
  EXPECT_EQ(field("content").size(), 32U);
  for (const auto& e : endpoints_) {
    EXPECT_EQ(field("endpoints_ended").find(e->id() + ",") != std::string::npos ||
                  field("endpoints_ended").ends_with(e->id()),
              e->has_ended())
        << e->id();
  }
}

TEST_F(CrashingRequestTest, IsCountedInTheMetricsWhileHeld)
{
  add_endpoints(12);
  start_fleet(1);
  reach_hold_threshold();
  send_crash_request(*gateways_[0]);
  const auto page = metrics_of(*gateways_[0]);
  EXPECT_NE(page.find("contents_held 1\n"), std::string::npos);
  EXPECT_NE(page.find("endpoint_crashes_known 3\n"), std::string::npos);
  EXPECT_NE(page.find("calls_under_ended_endpoints_total{service=\"chat\"} 3\n"),
            std::string::npos);
  EXPECT_NE(
      page.find("refusals_total{reason=\"not run: requests like it have ended endpoints\"} 1"),
      std::string::npos);
}

TEST_F(CrashingRequestTest, DoesNotBlockRequestsThatRanConcurrently)
{
  // Three endpoints end, each while 63 other requests are in flight. All of these are sent again.
  constexpr int concurrent = 63;
  add_endpoints(6);
  start_fleet(2);
  std::vector<http::request> other_requests;
  for (std::size_t round = 0; round < crashes_before_hold; ++round) {
    for (const auto& e : endpoints_) {
      e->behaviour = endpoint_behaviour::never_responds;
    }
    for (int i = 0; i < concurrent; ++i) {
      auto message = request_for("POST", "/unsafe/other");
      message.body = std::to_string(round) + "/" + std::to_string(i);
      other_requests.push_back(message);
      start_request(*gateways_[static_cast<std::size_t>(i) % 2], std::move(message));
    }
    const auto expected_requests = received_requests() + concurrent;
    wait_until([&] { return received_requests() == expected_requests; },
               "the endpoints have the other requests");
    const auto before = ended_endpoints();
    while (ended_endpoints() == before) {
      send_crash_request(*gateways_[round % 2]);
    }
    for (const auto& e : endpoints_) {
      e->close(); // the other requests fail, too
      store_.erase("servers", e->id());
    }
    take_statuses();
    add_endpoints(6);
    run_for(1s);
  }
  for (const auto& e : endpoints_) {
    e->behaviour = endpoint_behaviour::answers;
  }
  for (const auto& message : other_requests) {
    start_request(*gateways_[0], message);
  }
  const auto statuses = take_statuses();
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200), std::ssize(other_requests));
}

TEST_F(CrashingRequestTest, IsNotSuspectedWhenConnectionsAreOnlyReset)
{
  add_endpoints(2);
  start_fleet(1);
  for (const auto& e : endpoints_) {
    e->on_request = [] {};
    e->behaviour = endpoint_behaviour::disconnects;
  }
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(send_crash_request(*gateways_[0]), 502);
  }
  EXPECT_EQ(received_requests(), 8U);
  EXPECT_NE(metrics_of(*gateways_[0]).find("endpoint_probes_total{verdict=\"listens\"} 8\n"),
            std::string::npos);
}

TEST_F(CrashingRequestTest, CausesNoProbeWhenTheCallerDisconnects)
{
  add_endpoints(1);
  start_fleet(1);
  endpoints_[0]->behaviour = endpoint_behaviour::never_responds;
  http::cancel_handle handle;
  bool call_ended = false;
  auto disconnect = [&]() -> boost::asio::awaitable<void> {
    try {
      co_await client_.stream(gateways_[0]->options.callers, request_for("POST", "/unsafe/1"),
                              fakes::far_deadline(), {}, &handle);
    } catch (const http::http_error&) {
      call_ended = true;
    }
  };
  boost::asio::co_spawn(context_, disconnect(), boost::asio::detached);
  wait_until([this] { return received_requests() == 1; }, "the endpoint has the request");
  handle.cancel();
  wait_until([&] { return call_ended; }, "the caller has disconnected");
  wait_until(
      [this] {
        return metrics_of(*gateways_[0]).find("callers_gone_total 1") != std::string::npos;
      },
      "the call has ended");
  EXPECT_EQ(metrics_of(*gateways_[0]).find("endpoint_probes"), std::string::npos);
}

TEST_F(CrashingRequestTest, IsNotSuspectedWhenTheEndpointsWereDraining)
{
  // Requests with one content are in flight at four endpoints whose zone is reclaimed.
  for (int i = 0; i < 4; ++i) {
    add_endpoint("i-" + std::to_string(++last_endpoint_)).behaviour =
        endpoint_behaviour::never_responds;
  }
  start_fleet(1);
  while (std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& e) { return e->received.empty(); })) {
    start_request(*gateways_[0], crash_request("/unsafe/1"));
    run_for(20ms);
  }
  for (const auto& e : endpoints_) {
    write_endpoint(*e, "draining");
  }
  run_for(1s);
  for (const auto& e : endpoints_) {
    e->close();
  }
  take_statuses();
  add_endpoint("i-9");
  wait_until([this] { return send_crash_request(*gateways_[0], "/unsafe/1") == 200; },
             "the request is served");
}

TEST_F(CrashingRequestTest, IsNotHeldOnceTheSameContentWasAnswered)
{
  add_endpoints(4);
  start_fleet(1);
  send_crash_request(*gateways_[0]);
  send_crash_request(*gateways_[0]);
  ASSERT_EQ(ended_endpoints(), 2U);
  for (const auto& e : endpoints_) {
    e->on_request = [] {};
  }
  EXPECT_EQ(send_crash_request(*gateways_[0]), 200);
  EXPECT_NE(metrics_of(*gateways_[0]).find("calls_under_ended_endpoints_total"), std::string::npos);
  add_endpoints(4);
  run_for(6s); // the answer no longer clears a crash this much later
  send_crash_request(*gateways_[0]);
  run_for(1s);
  EXPECT_NE(metrics_of(*gateways_[0]).find("contents_held 0\n"), std::string::npos);
}

} // namespace
} // namespace wisteriaflow::relay
