// A daemon is ready only once it knows that its configuration is not stale.

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <gtest/gtest.h>

#include "wisteriaflow/core/daemon_core.h"

namespace wisteriaflow::core {
namespace {

using std::chrono::milliseconds;

// One core without real peers. The test passes all events to it.
class ReadinessTest : public testing::Test {
 protected:
  ReadinessTest() : core_(make_options(), now_) {}

  static daemon_core_options make_options()
  {
    daemon_core_options out;
    out.self = daemon_id("d1");
    out.caller_address = {.port = 1};
    out.peer_address = {.port = 2};
    return out;
  }

  // Passes an event to the core and returns the status of the response that it causes, if any.
  std::optional<int> handle(event e)
  {
    std::optional<int> status;
    for (const auto& a : core_.handle(std::move(e), now_)) {
      if (const auto* to_caller = std::get_if<caller_action>(&a)) {
        if (const auto* whole = std::get_if<respond>(to_caller)) {
          status = whole->response.status;
        }
      }
    }
    return status;
  }

  void advance(milliseconds time)
  {
    now_.mono += time;
    now_.wall += time;
    handle(ticked{});
  }

  int readiness()
  {
    return handle(call_received{.call = 1, .message = {.target = "/readyz"}}).value_or(0);
  }

  void receive_gossip_from_peer(std::uint64_t revision)
  {
    membership::gossip_message message;
    message.from = daemon_id("d2");
    message.configuration_revision = revision;
    handle(peer_request_received{.reply = 1, .message = message});
  }

  clock_reading now_{.mono = mono_time(std::chrono::hours(1)), .wall = from_unix_ms(1'000'000)};
  daemon_core core_;
};

TEST_F(ReadinessTest, IsNotReachedWithTheStoresListAlone)
{
  handle(declarations_listed{.version = 5});
  EXPECT_EQ(readiness(), 503);
}

TEST_F(ReadinessTest, IsReachedWhenAPeerReportsTheSameRevision)
{
  handle(declarations_listed{.version = 5});
  receive_gossip_from_peer(5);
  EXPECT_EQ(readiness(), 200);
}

TEST_F(ReadinessTest, WaitsForAHigherRevisionThatAPeerReports)
{
  handle(declarations_listed{.version = 5});
  receive_gossip_from_peer(6);
  EXPECT_EQ(readiness(), 503) << "the store's list was older than what a peer has in force";
  handle(declarations_listed{.version = 6});
  EXPECT_EQ(readiness(), 200);
}

TEST_F(ReadinessTest, IsReachedWhenNoPeerReportsARevision)
{
  handle(declarations_listed{.version = 5});
  receive_gossip_from_peer(0);
  advance(milliseconds(10'000));
  EXPECT_EQ(readiness(), 200);
}

} // namespace
} // namespace wisteriaflow::core
