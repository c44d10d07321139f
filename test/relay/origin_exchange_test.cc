// A daemon that reaches no other one, or knows too little.
//
// Guards against a daemon out of touch that takes the only version it knows of for the one that
// began a stream, and against one that begins a stream of which nobody can learn.

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fakes/free_addresses.h"
#include "fakes/run.h"
#include "relay/origin_exchange.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

const gateway::service_version first{.service = "chat", .version = "v1"};

class OriginExchangeTest : public testing::Test {
 protected:
  OriginExchangeTest() { state_.versions_known_since = mono_time::min(); }

  // Lists one endpoint of each version, all known for `time`.
  void list_endpoints(const std::vector<std::string>& versions, std::chrono::seconds time)
  {
    std::vector<gateway::endpoint_record> all;
    all.reserve(versions.size());
    for (const auto& v : versions) {
      all.push_back({.id = endpoint_id("i-" + v), .revision = 1, .service = "chat", .version = v});
    }
    state_.endpoints.replace_all(all, 5, std::chrono::steady_clock::now() - time);
  }

  void add_peer(const std::string& id, const http::socket_address& address)
  {
    state_.merge_report({.self = {.id = daemon_id(id), .peer_address = address}}, read_clocks());
  }

  void add_peers_that_cannot_be_reached(int count)
  {
    for (int i = 0; i < count; ++i) {
      add_peer("gone-" + std::to_string(i),
               fakes::free_addresses(fakes::process_loopback_host(0), 1).at(0));
    }
  }

  // A peer that replies, and knows nothing that this daemon does not know.
  void add_peer_that_replies() { add_peer("d2", peer_.address()); }

  found_origin find()
  {
    found_origin out;
    auto task = [&]() -> boost::asio::awaitable<void> {
      gateway::origin_question question{
          .stream = stream_, .services = {"chat"}, .since = std::chrono::steady_clock::now() - 30s};
      out = co_await origins_.find(std::move(question));
    };
    fakes::run(context_, task());
    return out;
  }

  boost::asio::awaitable<std::optional<gateway::service_version_set>> read_recorded()
  {
    co_return recorded_;
  }

  bool settles()
  {
    bool out = false;
    auto task = [&]() -> boost::asio::awaitable<void> {
      started_stream stream{.origin = {.stream = stream_,
                                       .version = first,
                                       .expires_at = std::chrono::steady_clock::now() + 30s},
                            .services = {"chat"},
                            .memory = 30s};
      out = co_await origins_.settle(std::move(stream));
    };
    fakes::run(context_, task());
    return out;
  }

  // What the store answers; nothing: it does not answer.
  std::optional<gateway::service_version_set> recorded_;

  boost::asio::io_context context_;
  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state state_{settings{.id = daemon_id("d"), .usage_window = 5s}, log_};
  store_client store_{context_, state_};
  origin_store stored_{context_, state_, store_};
  origin_exchange origins_{context_, state_, [this](mono_time) { return read_recorded(); },
                           stored_};
  http::server peer_{context_,
                     {.address = {.host = "127.0.0.1"}},
                     [this](http::request r, http::response_writer& w) {
                       return origins_.serve_question(std::move(r), w);
                     }};
  const gateway::stream_id stream_ = gateway::stream_id_of(workspace_id("hotel"), "r1");
};

TEST_F(OriginExchangeTest, TheOnlyDaemonFindsTheOnlyVersion)
{
  list_endpoints({"v1"}, 60s);
  const auto found = find();
  EXPECT_EQ(found.version, first);
  EXPECT_EQ(found.evidence, origin_evidence::only_version);
}

TEST_F(OriginExchangeTest, ADaemonOutOfTouchDoesNotTakeItsOnlyVersionForTheOnlyOne)
{
  list_endpoints({"v1"}, 60s);
  add_peers_that_cannot_be_reached(1);
  EXPECT_EQ(find().version, std::nullopt);
}

// A zone may be cut off from the store and from all other zones.
TEST_F(OriginExchangeTest, NorDoesAMinorityOfTheDaemons)
{
  list_endpoints({"v1"}, 60s);
  add_peer_that_replies();
  add_peers_that_cannot_be_reached(2);
  EXPECT_EQ(find().version, std::nullopt);
}

TEST_F(OriginExchangeTest, AMajorityFindsTheOnlyVersionWhileTheStoreIsDown)
{
  list_endpoints({"v1"}, 60s);
  add_peer_that_replies();
  add_peers_that_cannot_be_reached(1);
  EXPECT_EQ(find().evidence, origin_evidence::only_version);
}

TEST_F(OriginExchangeTest, FindsNothingBeforeItKnowsWhichVersionsWentBefore)
{
  state_.versions_known_since = mono_time::max();
  list_endpoints({"v1"}, 60s);
  EXPECT_EQ(find().version, std::nullopt);
}

TEST_F(OriginExchangeTest, TheOnlyRecordedVersionBeganTheStreamWhateverElseIsKnown)
{
  state_.versions_known_since = mono_time::max();
  recorded_ = gateway::service_version_set{first};
  list_endpoints({"v1"}, 60s);
  add_peers_that_cannot_be_reached(2);
  EXPECT_EQ(find().version, first);
}

TEST_F(OriginExchangeTest, ARecordedVersionThatNobodyKnowsMayHaveBegunTheStream)
{
  recorded_ = gateway::service_version_set{first, {.service = "chat", .version = "v0"}};
  list_endpoints({"v1"}, 60s);
  EXPECT_EQ(find().version, std::nullopt);
}

TEST_F(OriginExchangeTest, AVersionThatHasGoneMayHaveBegunTheStream)
{
  list_endpoints({"v1", "v2"}, 10s);
  list_endpoints({"v1"}, 9s);
  EXPECT_EQ(find().version, std::nullopt);
}

TEST_F(OriginExchangeTest, AnUnstatedVersionIsNoVersion)
{
  list_endpoints({""}, 60s);
  EXPECT_EQ(find().version, std::nullopt);
}

TEST_F(OriginExchangeTest, FindsItsOwnStreamsWhateverItReaches)
{
  list_endpoints({"v1", "v2"}, 60s);
  add_peers_that_cannot_be_reached(1);
  settles();
  const auto found = find();
  EXPECT_EQ(found.version, first);
  EXPECT_EQ(found.evidence, origin_evidence::own_record);
}

TEST_F(OriginExchangeTest, BeginsNoStreamThatOthersMayTakeForOneOfAnotherVersion)
{
  list_endpoints({"v1", "v2"}, 1s);
  add_peers_that_cannot_be_reached(1);
  EXPECT_FALSE(settles());
}

TEST_F(OriginExchangeTest, BeginsStreamsAloneOnceEveryDaemonKnowsOfTheVersions)
{
  list_endpoints({"v1", "v2"}, 60s);
  add_peers_that_cannot_be_reached(1);
  EXPECT_TRUE(settles());
}

TEST_F(OriginExchangeTest, WaitsForNobodyWhileOneVersionServes)
{
  list_endpoints({"v1"}, 1s);
  add_peers_that_cannot_be_reached(1);
  EXPECT_TRUE(settles());
}

} // namespace
} // namespace wisteriaflow::relay
