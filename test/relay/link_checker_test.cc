// What a daemon concludes from the end of an answer that has neither a length nor chunks.
//
// Guards against an answer that passes for whole because nobody could tell that it was cut off: its
// endpoint was known to leave, its entry was gone, another process had taken over its address, or
// the peers that were asked had just been killed.

#include <algorithm>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "fakes/free_addresses.h"
#include "fakes/run.h"
#include "relay/link_checker.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// What the daemon knows of the endpoint when the answer ends.
enum class standing { serves, leaves, removed, restarted, other_at_address };
// What its own connection to the endpoint shows.
enum class own_link { opened, refused, no_reply, lost };
// What a peer answers; `dead`: its process was just killed.
enum class peer { dead, listens, ended, no_reply };

struct end_case {
  const char* name;
  standing endpoint = standing::serves;
  own_link link = own_link::refused;
  std::vector<peer> peers;
  bool whole = false;
};

std::ostream& operator<<(std::ostream& out, const end_case& c)
{
  return out << c.name;
}

class AnswerEndTest : public testing::TestWithParam<end_case> {
 protected:
  AnswerEndTest() : listener_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
    for (const auto p : GetParam().peers) {
      add_peer(p);
    }
  }

  void add_peer(peer p)
  {
    const auto number = std::to_string(peers_.size());
    http::socket_address address;
    if (p == peer::dead) {
      address = free_address();
      peers_.push_back(nullptr);
    } else {
      const std::string verdict = p == peer::listens ? "listens"
                                  : p == peer::ended ? "ended"
                                                     : "unknown";
      peers_.push_back(std::make_unique<http::server>(
          context_, http::server_options{},
          [verdict](http::request, http::response_writer& w) -> boost::asio::awaitable<void> {
            http::response out{.status = 200, .body = verdict};
            co_await w.send(std::move(out));
          }));
      address = peers_.back()->address();
    }
    const gateway::daemon_contact contact{
        .id = daemon_id("d-" + number), .peer_address = address, .ready = true};
    state_.merge_report({.self = contact}, read_clocks());
  }

  static http::socket_address free_address()
  {
    return fakes::free_addresses(fakes::process_loopback_host(0), 1).front();
  }

  // The address of the endpoint, prepared for the link.
  http::socket_address prepare_link()
  {
    switch (GetParam().link) {
    case own_link::opened:
      return {.port = listener_.local_endpoint().port()};
    case own_link::refused:
      return free_address();
    case own_link::no_reply:
      return {.host = "nowhere", .port = 1};
    case own_link::lost:
      const auto now = std::chrono::steady_clock::now();
      state_.links.on_connect_failure(process_.id, now, now);
      return {.port = listener_.local_endpoint().port()};
    }
    return {};
  }

  void list_endpoint(const http::socket_address& address)
  {
    const auto now = std::chrono::steady_clock::now();
    gateway::endpoint_record record{.id = process_.id,
                                    .revision = 1,
                                    .incarnation = process_.incarnation,
                                    .service = "chat",
                                    .address = address};
    state_.endpoints.apply(record, now);
    switch (GetParam().endpoint) {
    case standing::serves:
      return;
    case standing::leaves:
      record.revision = 2;
      record.leaving = true;
      break;
    case standing::restarted:
      record.revision = 2;
      ++record.incarnation;
      break;
    case standing::removed:
      state_.endpoints.remove({.id = process_.id, .revision = 2}, now);
      return;
    case standing::other_at_address:
      state_.endpoints.remove({.id = process_.id, .revision = 2}, now);
      record.revision = 3;
      record.id = endpoint_id("i-2");
      break;
    }
    state_.endpoints.apply(record, now);
  }

  observed_end judge(const http::response& head)
  {
    const auto address = prepare_link();
    list_endpoint(address);
    observed_end out;
    auto task = [&]() -> boost::asio::awaitable<void> {
      out = co_await checker_.find_end(head, process_, address);
    };
    fakes::run(context_, task());
    return out;
  }

  boost::asio::io_context context_;
  tcp::acceptor listener_;
  std::vector<std::unique_ptr<http::server>> peers_;
  const gateway::endpoint_process process_{.id = endpoint_id("i-1"), .incarnation = 1'000};
  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state state_{settings{.id = daemon_id("d"), .usage_window = 5s}, log_};
  link_checker checker_{context_, state_};
};

TEST_P(AnswerEndTest, IsWholeOnlyIfThatIsKnown)
{
  EXPECT_EQ(judge({.status = 200}).end.is_whole(), GetParam().whole);
}

TEST_P(AnswerEndTest, IsNotBlamedOnAnEndpointThatIsNotInUse)
{
  const bool is_in_use = GetParam().endpoint == standing::serves;
  const auto cause = judge({.status = 200}).cause;
  EXPECT_TRUE(is_in_use || cause == failure_cause::unknown) << to_string(cause);
}

TEST_P(AnswerEndTest, IsBlamedOnTheEndOfAProcessThatRefusesUnlessAPeerConnects)
{
  const auto& peers = GetParam().peers;
  const bool contradicted = std::find(peers.begin(), peers.end(), peer::listens) != peers.end();
  const bool unreached = std::find(peers.begin(), peers.end(), peer::no_reply) != peers.end();
  if (GetParam().endpoint == standing::serves && GetParam().link == own_link::refused &&
      !contradicted && !unreached) {
    EXPECT_EQ(judge({.status = 200}).cause, failure_cause::ended);
  }
}

TEST_P(AnswerEndTest, IsWholeIfItsLengthTellsSo)
{
  EXPECT_TRUE(judge({.status = 200, .fields = {{"Content-Length", "3"}}}).end.is_whole());
}

// clang-format off
const std::vector<end_case> cases = {
    {"ServesAndListens", standing::serves, own_link::opened, {}, true},
    {"LeavesAndListens", standing::leaves, own_link::opened, {}, true},
    {"RemovedAndListens", standing::removed, own_link::opened, {}, true},
    {"RestartedAndListens", standing::restarted, own_link::opened, {}, false},
    {"AnotherListensThere", standing::other_at_address, own_link::opened, {}, false},
    {"EndsAlone", standing::serves, own_link::refused, {}, false},
    {"LeavesAndEndsAlone", standing::leaves, own_link::refused, {}, false},
    {"RemovedAndEndsAlone", standing::removed, own_link::refused, {}, false},
    {"EndsAndAPeerSaysSo", standing::serves, own_link::refused, {peer::ended}, false},
    {"EndsAndAPeerHasNoReply", standing::serves, own_link::refused, {peer::no_reply}, false},
    {"EndsAndOnePeerIsDead", standing::serves, own_link::refused, {peer::dead, peer::ended}, false},
    {"EndsAndBothPeersAreDead", standing::serves, own_link::refused, {peer::dead, peer::dead}, false},
    {"LeavesAndEndsAndBothPeersAreDead", standing::leaves, own_link::refused, {peer::dead, peer::dead}, false},
    {"EndsAndAnotherListensAMomentLater", standing::serves, own_link::refused, {peer::listens}, false},
    {"NoReplyAlone", standing::serves, own_link::no_reply, {}, false},
    {"NoReplyAndBothPeersAreDead", standing::serves, own_link::no_reply, {peer::dead, peer::dead}, false},
    {"NoReplyButAPeerConnects", standing::serves, own_link::no_reply, {peer::listens}, true},
    {"LeavesAndNoReplyButAPeerConnects", standing::leaves, own_link::no_reply, {peer::listens}, true},
    {"NoReplyAndAPeerIsRefused", standing::serves, own_link::no_reply, {peer::ended}, false},
    {"LinkLostAlone", standing::serves, own_link::lost, {}, false},
    {"LinkLostAndBothPeersAreDead", standing::serves, own_link::lost, {peer::dead, peer::dead}, false},
    {"LinkLostButAPeerConnects", standing::serves, own_link::lost, {peer::listens}, true},
    {"LinkLostAndRestartedButAPeerConnects", standing::restarted, own_link::lost, {peer::listens}, false},
};
// clang-format on

INSTANTIATE_TEST_SUITE_P(Ends, AnswerEndTest, testing::ValuesIn(cases),
                         [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace wisteriaflow::relay
