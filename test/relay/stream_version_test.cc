// Streams of a service whose endpoints run several versions of their software.
//
// Guards against streams that hold events of two versions: an interrupted answer went on at an
// endpoint of any version, and so did a stream that its caller took up again, often at another
// daemon, because the one that had begun it was gone.

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "fakes/run.h"
#include "relay/gateway_fixture.h"
#include "relay/relay_messages.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

// A stream as its caller holds it, over all its attempts.
struct held_stream {
  std::string id;           // of the attempt that brought the first event
  int status = 0;           // of the last attempt; 0: no head was received
  std::string retry_after;  // of the last attempt
  std::string events;       // all that were received
  bool is_complete = false; // the last attempt received the end of the stream

  // Versions that wrote the events.
  [[nodiscard]] std::set<std::string> versions() const
  {
    std::set<std::string> out;
    const std::string mark = " by ";
    for (auto at = events.find(mark); at != std::string::npos; at = events.find(mark, at + 1)) {
      const auto begin = at + mark.size();
      out.insert(events.substr(begin, events.find('\n', begin) - begin));
    }
    return out;
  }
};

class StreamVersionTest : public gateway_fixture {
 protected:
  void add_endpoints(int each_version)
  {
    for (int i = 0; i < each_version; ++i) {
      add_endpoint_of_version("a-" + std::to_string(i), "v1");
      add_endpoint_of_version("b-" + std::to_string(i), "v2");
    }
  }

  // Starts daemons in these zones and waits until they have exchanged reports.
  void start_in_zones(const std::vector<std::string>& zones)
  {
    customize_settings_ = [&](settings& s) {
      s.zone = availability_zone(zones.at(gateways_.size()));
    };
    start_fleet(static_cast<int>(zones.size()));
  }

  void remove_endpoints_of(const std::string& version)
  {
    for (const auto& e : endpoints_) {
      if (e->version == version) {
        store_.erase("servers", e->id());
      }
    }
  }

  // Sum of a counter of all daemons; 0 if none has counted yet.
  double total(const std::string& counter)
  {
    double sum = 0;
    for (const auto& g : gateways_) {
      const auto page = send(g->options.peers, {.target = "/metrics"}).body;
      const auto line = "\nwisteriaflow_gateway_" + counter;
      const auto at = page.find(line);
      sum += at == std::string::npos ? 0 : std::stod(page.substr(page.find(' ', at)));
    }
    return sum;
  }

  [[nodiscard]] std::size_t received_requests() const
  {
    std::size_t n = 0;
    for (const auto& e : endpoints_) {
      n += e->received.size();
    }
    return n;
  }

  void set_behaviour(endpoint_behaviour behaviour)
  {
    for (const auto& e : endpoints_) {
      e->behaviour = behaviour;
    }
  }

  // Sends one attempt and appends the events that it brings to `to`.
  void receive(running_gateway& from, http::request message, held_stream& to)
  {
    to.status = 0;
    to.is_complete = false;
    http::stream_observer observer;
    observer.on_head = [&to](const http::response& head) {
      to.status = head.status;
      to.retry_after = http::find_header(head.fields, "Retry-After");
    };
    observer.on_bytes = [&to](std::string_view bytes) {
      to.events += to.status == 200 ? bytes : std::string_view();
    };
    auto task = [&]() -> boost::asio::awaitable<void> {
      try {
        co_await client_.stream(from.options.callers, message, fakes::far_deadline(),
                                std::move(observer));
        to.is_complete = to.status == 200;
      } catch (const http::http_error&) {
        to.is_complete = false;
      }
    };
    fakes::run(context_, task());
  }

  // Begins a stream at the daemon.
  held_stream begin(running_gateway& at)
  {
    auto message = request_for("POST", "/resumable/1");
    held_stream out{.id = std::string(http::find_header(message.fields, "Request-Id"))};
    receive(at, std::move(message), out);
    return out;
  }

  // Begins streams that their endpoints cut after the third event.
  std::vector<held_stream> begin_cut_streams(running_gateway& at, int count)
  {
    set_behaviour(endpoint_behaviour::streams_then_disconnects);
    std::vector<held_stream> out;
    for (int i = 0; i < count; ++i) {
      out.push_back(begin(at));
      EXPECT_FALSE(out.back().is_complete);
    }
    set_behaviour(endpoint_behaviour::streams);
    return out;
  }

  // Takes the stream up again after the event `last_event`. Returns the id of the new attempt.
  std::string resume(running_gateway& at, held_stream& stream, const std::string& last_event = "3")
  {
    auto message = request_for("POST", "/resumable/1");
    auto id = std::string(http::find_header(message.fields, "Request-Id"));
    message.fields.push_back({.name = "Last-Event-Id", .value = last_event});
    message.fields.push_back({.name = "Resumes", .value = stream.id});
    receive(at, std::move(message), stream);
    return id;
  }

  static void expect_whole_and_of_one_version(const held_stream& stream)
  {
    EXPECT_EQ(stream.versions().size(), 1U) << stream.events;
    EXPECT_TRUE(stream.is_complete) << stream.status << " after " << stream.events;
  }
};

TEST_F(StreamVersionTest, AnInterruptedAnswerGoesOnOnlyAtTheVersionThatBeganIt)
{
  add_endpoints(1);
  start_fleet(1);
  set_behaviour(endpoint_behaviour::streams_then_disconnects);
  for (int i = 0; i < 10; ++i) {
    // Whichever endpoint begins the stream, the other one could complete it.
    endpoints_[0]->on_request = [this] { endpoints_[1]->behaviour = endpoint_behaviour::streams; };
    endpoints_[1]->on_request = [this] { endpoints_[0]->behaviour = endpoint_behaviour::streams; };
    set_behaviour(endpoint_behaviour::streams_then_disconnects);
    EXPECT_EQ(begin(*gateways_[0]).versions().size(), 1U);
  }
}

TEST_F(StreamVersionTest, AResumedStreamGoesOnOnlyAtTheVersionThatBeganIt)
{
  add_endpoints(2);
  start_fleet(3);
  for (auto& stream : begin_cut_streams(*gateways_[0], 12)) {
    resume(*gateways_[1], stream);
    expect_whole_and_of_one_version(stream);
  }
}

TEST_F(StreamVersionTest, AStreamOutlivesTheDaemonThatBeganIt)
{
  add_endpoints(2);
  start_fleet(3);
  auto streams = begin_cut_streams(*gateways_[0], 12);
  gateways_.erase(gateways_.begin());
  for (auto& stream : streams) {
    resume(*gateways_[0], stream);
    expect_whole_and_of_one_version(stream);
  }
}

TEST_F(StreamVersionTest, RefusesAStreamOfAnUnknownVersionWithoutSendingIt)
{
  add_endpoints(2);
  start_fleet(2);
  set_behaviour(endpoint_behaviour::streams);
  held_stream invented{.id = "nobody-has-sent-this"};
  resume(*gateways_[1], invented);
  EXPECT_EQ(invented.status, 503);
  EXPECT_FALSE(invented.retry_after.empty());
  EXPECT_EQ(received_requests(), 0U);
}

TEST_F(StreamVersionTest, AStreamOutlivesAllDaemonsOfTheZoneThatBeganIt)
{
  add_endpoints(2);
  start_in_zones({"a", "a", "b", "c"});
  auto streams = begin_cut_streams(*gateways_[0], 12);
  gateways_.erase(gateways_.begin(), gateways_.begin() + 2);
  for (auto& stream : streams) {
    resume(*gateways_[1], stream);
    expect_whole_and_of_one_version(stream);
  }
}

TEST_F(StreamVersionTest, IsNotMixedWhenAllDaemonsThatKnewItsVersionAreGone)
{
  add_endpoints(2);
  start_in_zones({"a", "a", "b", "b", "c", "c"});
  store_.unavailable = true; // so that the origins are known to daemons only
  auto streams = begin_cut_streams(*gateways_[0], 24);
  gateways_.erase(gateways_.begin(), gateways_.end() - 1);
  run_for(200ms); // the store refuses what it received meanwhile
  store_.unavailable = false;
  int refused = 0;
  for (auto& stream : streams) {
    resume(*gateways_[0], stream);
    EXPECT_EQ(stream.versions().size(), 1U) << stream.events;
    EXPECT_TRUE(stream.is_complete || stream.status == 503) << stream.status;
    refused += stream.status == 503 ? 1 : 0;
  }
  EXPECT_GT(refused, 0); // otherwise every daemon knows every stream
}

TEST_F(StreamVersionTest, GoesOnWhenAllDaemonsThatKnewItsVersionAreGoneButTheStoreHasIt)
{
  add_endpoints(2);
  start_in_zones({"a", "a", "b", "b", "c", "c"});
  auto streams = begin_cut_streams(*gateways_[0], 24);
  run_for(1s);
  gateways_.erase(gateways_.begin(), gateways_.end() - 1);
  for (auto& stream : streams) {
    resume(*gateways_[0], stream);
    expect_whole_and_of_one_version(stream);
  }
}

TEST_F(StreamVersionTest, EveryAttemptThatBroughtEventsLeadsToTheVersion)
{
  add_endpoints(2);
  start_fleet(3);
  for (const bool names_first : {true, false}) {
    for (auto& stream : begin_cut_streams(*gateways_[0], 6)) {
      set_behaviour(endpoint_behaviour::streams_then_disconnects);
      for (const auto& e : endpoints_) {
        e->last_event_before_cut = 5;
      }
      const auto second = resume(*gateways_[1], stream);
      EXPECT_FALSE(stream.is_complete);
      set_behaviour(endpoint_behaviour::streams);
      stream.id = names_first ? stream.id : second;
      resume(*gateways_[2], stream, "5");
      expect_whole_and_of_one_version(stream);
    }
    for (const auto& e : endpoints_) {
      e->last_event_before_cut = 3;
    }
  }
}

TEST_F(StreamVersionTest, NothingIsToldWhileOneVersionServes)
{
  add_endpoint_of_version("a-0", "v1");
  add_endpoint_of_version("a-1", "v1");
  start_fleet(3);
  for (auto& stream : begin_cut_streams(*gateways_[0], 6)) {
    resume(*gateways_[1], stream);
    expect_whole_and_of_one_version(stream);
  }
  EXPECT_EQ(total("stream_origin_messages_total"), 0);
}

TEST_F(StreamVersionTest, AStreamBegunBeforeTheSecondVersionAppearedIsToldThen)
{
  add_endpoint_of_version("a-0", "v1");
  add_endpoint_of_version("a-1", "v1");
  start_fleet(3);
  auto streams = begin_cut_streams(*gateways_[0], 12);
  add_endpoint_of_version("b-0", "v2").behaviour = endpoint_behaviour::streams;
  add_endpoint_of_version("b-1", "v2").behaviour = endpoint_behaviour::streams;
  wait_until([this] { return total("stream_origin_messages_total") > 0; },
             "the origins are replicated");
  run_for(1s);
  gateways_.erase(gateways_.begin());
  for (auto& stream : streams) {
    resume(*gateways_[0], stream);
    expect_whole_and_of_one_version(stream);
  }
}

TEST_F(StreamVersionTest, RefusesAtOnceAStreamWhoseVersionHasNoEndpointLeft)
{
  add_endpoints(1);
  start_fleet(2);
  auto streams = begin_cut_streams(*gateways_[0], 8);
  remove_endpoints_of("v1");
  run_for(3s);
  const auto received = received_requests();
  for (auto& stream : streams) {
    const bool has_ended = stream.versions().contains("v1");
    resume(*gateways_[1], stream);
    EXPECT_EQ(stream.versions().size(), 1U) << stream.events;
    EXPECT_EQ(stream.status, has_ended ? 503 : 200);
  }
  EXPECT_LT(received_requests(), received + streams.size());
}

// The versions in use are the only thing that outlives all daemons.
TEST_F(StreamVersionTest, AVersionThatHasGoneIsRememberedBeyondTheEndOfAllDaemons)
{
  add_endpoints(1);
  start_fleet(2);
  auto streams = begin_cut_streams(*gateways_[0], 8);
  run_for(1s);
  remove_endpoints_of("v1");
  run_for(3s);
  gateways_.clear();
  start_fleet(2);
  for (auto& stream : streams) {
    resume(*gateways_[1], stream);
    EXPECT_EQ(stream.versions().size(), 1U) << stream.events;
  }
}

// Nothing stored was taken for a proof that no other version went before.
TEST_F(StreamVersionTest, IsNotMixedWhenEndpointsAreReplacedWhileNoDaemonRuns)
{
  add_endpoint_of_version("a-0", "v1");
  add_endpoint_of_version("a-1", "v1");
  start_fleet(2);
  auto streams = begin_cut_streams(*gateways_[0], 12);
  gateways_.clear();
  remove_endpoints_of("v1");
  add_endpoint_of_version("b-0", "v2").behaviour = endpoint_behaviour::streams;
  add_endpoint_of_version("b-1", "v2").behaviour = endpoint_behaviour::streams;
  start_fleet(2);
  for (auto& stream : streams) {
    resume(*gateways_[1], stream);
    EXPECT_EQ(stream.versions().size(), 1U) << stream.events;
    EXPECT_EQ(stream.status, 503);
  }
}

// Origins were held by daemons only, so all streams were refused after the end of all daemons.
TEST_F(StreamVersionTest, GoesOnAfterTheEndOfAllDaemonsWhileSeveralVersionsServe)
{
  add_endpoints(2);
  start_fleet(3);
  auto streams = begin_cut_streams(*gateways_[0], 12);
  run_for(1s);
  gateways_.clear();
  start_fleet(3);
  for (auto& stream : streams) {
    resume(*gateways_[1], stream);
    expect_whole_and_of_one_version(stream);
  }
}

TEST_F(StreamVersionTest, GoesOnAfterTheEndOfAllDaemonsWhileOneVersionServes)
{
  add_endpoint_of_version("a-0", "v1");
  add_endpoint_of_version("a-1", "v1");
  start_fleet(2);
  auto streams = begin_cut_streams(*gateways_[0], 12);
  gateways_.clear();
  start_fleet(2);
  for (auto& stream : streams) {
    resume(*gateways_[1], stream);
    expect_whole_and_of_one_version(stream);
  }
}

TEST_F(StreamVersionTest, LastEventIdAloneDoesNotSayWhichVersionBeganTheStream)
{
  add_endpoints(1);
  start_fleet(1);
  auto message = request_for("POST", "/resumable/1");
  message.fields.push_back({.name = "Last-Event-Id", .value = "3"});
  held_stream stream;
  receive(*gateways_[0], std::move(message), stream);
  EXPECT_EQ(stream.status, 503);
}

TEST_F(StreamVersionTest, ForwardsNothingFromAnEndpointWhoseEntryHasChangedItsVersion)
{
  auto& first = add_endpoint_of_version("a-0", "v1");
  add_endpoint_of_version("a-1", "v1");
  start_fleet(1);
  set_behaviour(endpoint_behaviour::streams);
  first.stream_delay = 600ms;
  first.on_request = [&] { write_endpoint(first, "ready", 1'000, "v2"); };
  for (int i = 0; i < 10 && first.received.empty(); ++i) {
    const auto stream = begin(*gateways_[0]);
    EXPECT_TRUE(stream.is_complete) << stream.status;
  }
  ASSERT_FALSE(first.received.empty());
  EXPECT_EQ(total("attempts_total{service=\"chat\",fine=\"no\"}"), 1);
}

TEST_F(StreamVersionTest, APeerDoesNotCarryACallToAnEndpointThatItKnowsAtAnotherVersion)
{
  add_endpoint_of_version("a-0", "v1");
  start_fleet(2);
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [version, result] :
       {std::pair("v1", relay_result::answered), std::pair("v2", relay_result::refused)}) {
    auto message = request_for("POST", "/resumable/1");
    const auto id = std::string(http::find_header(message.fields, "Request-Id"));
    endpoint_request request{.endpoint = endpoint_id("a-0"),
                             .version = version,
                             .request_id = id,
                             .deadline = now + 20s,
                             .message = std::move(message)};
    const auto answer =
        send(gateways_[1]->options.peers, encode_relay_request(std::move(request), now));
    EXPECT_EQ(relay_result_of(answer), result) << version;
  }
}

} // namespace
} // namespace wisteriaflow::relay
