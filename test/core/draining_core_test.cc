// Guards against a drain that never ends because the store does not answer.

#include <chrono>
#include <variant>

#include <gtest/gtest.h>

#include "wisteriaflow/core/daemon_core.h"

namespace wisteriaflow::core {
namespace {

using namespace std::chrono_literals;

class DrainingCoreTest : public testing::Test {
 protected:
  DrainingCoreTest() : core_(make_options(), now_) {}

  static daemon_core_options make_options()
  {
    daemon_core_options out;
    out.self = daemon_id("d1");
    out.caller_address = {.port = 1};
    out.peer_address = {.port = 2};
    out.drain_grace = 5s;
    return out;
  }

  // Passes an event to the core. Calls to the store are never answered.
  void handle(event e)
  {
    for (const auto& a : core_.handle(std::move(e), now_)) {
      if (const auto* of_process = std::get_if<process_action>(&a)) {
        stopped_ = stopped_ || std::holds_alternative<stop_process>(*of_process);
      }
    }
  }

  void advance(std::chrono::milliseconds time)
  {
    for (auto left = time; left > 0ms && !stopped_; left -= 50ms) {
      now_.mono += 50ms;
      now_.wall += 50ms;
      handle(ticked{});
    }
  }

  clock_reading now_{.mono = mono_time(std::chrono::hours(1)), .wall = from_unix_ms(1'000'000)};
  daemon_core core_;
  bool stopped_ = false;
};

TEST_F(DrainingCoreTest, StopsAlthoughItsClaimShardsCannotBeReleased)
{
  handle(declarations_listed{.version = 5});
  advance(10s); // It starts to acquire its shards and waits for the store.
  handle(drain_requested{});
  advance(30s);
  EXPECT_TRUE(stopped_);
}

} // namespace
} // namespace wisteriaflow::core
