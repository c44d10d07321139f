// Test fixture: a fleet of three daemons in two availability zones, with three engines and a plain
// service.

#ifndef WISTERIAFLOW_TEST_SYSTEM_FLEET_FIXTURE_H_
#define WISTERIAFLOW_TEST_SYSTEM_FLEET_FIXTURE_H_

#include <atomic>
#include <csignal>
#include <future>
#include <string>

#include <gtest/gtest.h>

#include "system/eventually.h"
#include "system/fleet.h"

namespace wisteriaflow::system_tests {

class fleet_fixture : public testing::Test {
 public:
  void SetUp() override
  {
    f.start_engine({.id = "engine-a", .zone = "zone-a", .token_interval_ms = token_interval_ms});
    f.start_engine({.id = "engine-b", .zone = "zone-b", .token_interval_ms = token_interval_ms});
    f.start_engine({.id = "engine-c", .zone = "zone-b", .token_interval_ms = token_interval_ms});
    f.start_service("desk", "zone-a");
    f.create_declarations();
    f.start_daemon("d1", "zone-a");
    f.start_daemon("d2", "zone-a");
    f.start_daemon("d3", "zone-b");
    f.await_ready(endpoints);
  }

  // A stream that is read on a thread of its own while the test continues.
  struct running_stream {
    std::atomic<int> received_tokens{0};
    std::future<streamed_answer> answer;
  };

  // Starts a stream and waits until three of its tokens have been received.
  std::unique_ptr<running_stream> start_stream(const std::string& daemon,
                                               const completion_options& options)
  {
    auto out = std::make_unique<running_stream>();
    out->answer = std::async(std::launch::async, [this, daemon, options, s = out.get()] {
      return follow_stream(f.address_of(daemon), completion_request(options), &s->received_tokens);
    });
    const bool started = eventually([&] { return out->received_tokens >= 3; });
    EXPECT_TRUE(started) << "the stream at " << daemon << " did not start";
    return out;
  }

  // Expects that the stream has all its tokens once, in order, and its regular end.
  static void expect_complete(const streamed_answer& got, const completion_options& options)
  {
    EXPECT_EQ(got.text, expected_text(options));
    EXPECT_TRUE(got.in_order) << "tokens repeated or missing, got " << got.tokens;
    EXPECT_TRUE(got.done) << "no [DONE]; error: " << got.error;
    EXPECT_FALSE(got.truncated) << "truncated after " << got.tokens << " tokens";
  }

  // Returns the id of an engine that runs a request now; empty if none does.
  std::string busy_engine()
  {
    for (const auto* id : {"engine-a", "engine-b", "engine-c"}) {
      const auto got = call(f.address_of(id), {.target = "/load"});
      if (got.body.find("\"running\":0") == std::string::npos && got.is_complete) {
        return id;
      }
    }
    return {};
  }

  // Sends a non-idempotent request to the plain service on a thread of its own.
  std::future<reply> send_delivery(const std::string& daemon, const std::string& key,
                                   const std::string& path = "/confirm")
  {
    const auto address = f.address_of(daemon);
    return std::async(std::launch::async, [=] {
      return call_following_redirects(address, delivery_request(key, path));
    });
  }

  // Waits until the service has started to run the request with `key`.
  void await_run(const std::string& key)
  {
    EXPECT_TRUE(eventually([&] { return f.runs_of(key) > 0; })) << key << " was not run";
  }

  static constexpr int token_interval_ms = 15;
  static constexpr int endpoints = 4;
  fleet f;
};

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_FLEET_FIXTURE_H_
