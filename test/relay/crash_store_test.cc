#include <chrono>
#include <functional>
#include <string>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_store.h"
#include "relay/crash_store.h"
#include "wisteriaflow/gateway/crash_report_codec.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

constexpr const char* kind = "gateway-crash-holds";
const gateway::content_id content{.hash = {.high = 1, .low = 2}};

class CrashStoreTest : public testing::Test {
 protected:
  static settings settings_for(const fakes::fake_store& store)
  {
    return {.id = daemon_id("d"), .store = store.address(), .usage_window = 5s};
  }

  void record_crashes(int count)
  {
    for (int i = 0; i < count; ++i) {
      state_.crashes.on_crash({.process = {.id = endpoint_id("i-" + std::to_string(i))},
                               .at = state_.fleet_time(),
                               .suspects = {{content, {}}}});
    }
  }

  // The object that another daemon would have written for `count` crashes.
  boost::json::value spec_from_other_daemon(int count, std::chrono::seconds age = 0s)
  {
    gateway::crash_report news;
    for (int i = 0; i < count; ++i) {
      news.crashes.push_back({.process = {.id = endpoint_id("j-" + std::to_string(i))},
                              .at = state_.fleet_time() - age,
                              .suspects = {{content, {}}}});
    }
    return encode_crash_report(news);
  }

  void wait_until(const std::function<bool()>& condition, const char* description)
  {
    const auto deadline = std::chrono::steady_clock::now() + 60s;
    while (!condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), deadline) << description;
      context_.restart();
      context_.run_for(20ms);
    }
  }

  // Starts the store's coroutine and waits until it has written a hold of three crashes.
  void store_hold()
  {
    store_.start();
    record_crashes(3);
    wait_until([this] { return stored_crash_count() == 3; }, "the hold is stored");
  }

  void run_for(std::chrono::milliseconds time)
  {
    context_.restart();
    context_.run_for(time);
  }

  [[nodiscard]] bool is_held() { return state_.crashes.hold_of(content).has_value(); }

  [[nodiscard]] std::size_t stored_crash_count() const
  {
    const auto spec = fake_.get(kind, to_string(content));
    return spec.is_object() ? gateway::decode_crash_report(spec).crashes.size() : 0;
  }

  boost::asio::io_context context_;
  fakes::fake_store fake_{context_};
  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state state_{settings_for(fake_), log_};
  store_client client_{context_, state_};
  crash_store store_{context_, state_, client_};
};

TEST_F(CrashStoreTest, WritesTheCrashesBehindAHold)
{
  store_hold();
}

TEST_F(CrashStoreTest, WritesNothingBelowTheHoldThreshold)
{
  store_.start();
  record_crashes(2);
  run_for(600ms);
  EXPECT_EQ(stored_crash_count(), 0U);
}

TEST_F(CrashStoreTest, WritesFurtherCrashes)
{
  store_hold();
  record_crashes(4);
  wait_until([this] { return stored_crash_count() == 4; }, "the further crash is stored");
}

// Guards against daemons that start, find the hold of a content that was cleared, and refuse it.
TEST_F(CrashStoreTest, RemovesAHoldOnceItsContentHasComeFurtherElsewhere)
{
  store_hold();
  const gateway::running_answers::entry one(
      state_.running_answers, content,
      {.by = {.id = endpoint_id("i-9")}, .progress = {.position = 5, .time = 1s}});
  state_.review_held_contents();
  wait_until([this] { return fake_.get(kind, to_string(content)).is_null(); },
             "the hold is removed");
  EXPECT_FALSE(is_held());
}

TEST_F(CrashStoreTest, WritesThatAHoldIsContested)
{
  store_hold();
  const gateway::running_answers::entry one(
      state_.running_answers, content,
      {.by = {.id = endpoint_id("i-9")}, .sent_at = state_.fleet_time() - 10s});
  state_.review_held_contents();
  wait_until(
      [this] {
        const auto spec = fake_.get(kind, to_string(content));
        const auto news = gateway::decode_crash_report(spec);
        return news.crashes.at(0).suspects.at(content).outlived_by.has_value();
      },
      "the hold is stored as contested");
}

TEST_F(CrashStoreTest, ReadsAtStartHoldsThatEarlierDaemonsWrote)
{
  fake_.put(kind, to_string(content), spec_from_other_daemon(3));
  store_.start();
  wait_until([this] { return is_held(); }, "the hold is read");
}

TEST_F(CrashStoreTest, ReadsAsSoonAsTheStoreIsReachableAgain)
{
  fake_.put(kind, to_string(content), spec_from_other_daemon(3));
  fake_.unavailable = true;
  store_.start();
  run_for(500ms);
  EXPECT_FALSE(is_held());
  fake_.unavailable = false;
  wait_until([this] { return is_held(); }, "the hold is read");
}

TEST_F(CrashStoreTest, WritesAsSoonAsTheStoreIsReachableAgain)
{
  store_.start();
  fake_.unavailable = true;
  record_crashes(3);
  run_for(500ms);
  fake_.unavailable = false;
  wait_until([this] { return stored_crash_count() == 3; }, "the hold is stored");
}

TEST_F(CrashStoreTest, ReadsHoldsWrittenByAPeerThatIsPartitionedOff)
{
  store_.start();
  run_for(300ms);
  gateway::peer_report report;
  report.self = {.id = daemon_id("peer"), .incarnation = 1};
  state_.peers.on_report(report, std::chrono::steady_clock::now() - 2s); // the last report
  fake_.put(kind, to_string(content), spec_from_other_daemon(3));
  wait_until([this] { return is_held(); }, "the hold is read");
}

TEST_F(CrashStoreTest, MergesWhatAnotherDaemonHasWrittenMeanwhile)
{
  store_.start();
  run_for(300ms);
  fake_.put(kind, to_string(content), spec_from_other_daemon(2));
  record_crashes(3);
  wait_until([this] { return stored_crash_count() >= 3; }, "the hold is stored");
  EXPECT_EQ(state_.crashes.times_suspected(content), 5U);
}

TEST_F(CrashStoreTest, RemovesAHoldOnceTheContentIsAnswered)
{
  store_hold();
  state_.crashes.on_answered(content, state_.fleet_time());
  wait_until([this] { return stored_crash_count() == 0; }, "the hold is removed");
}

TEST_F(CrashStoreTest, RemovesAHoldWhoseCrashesHaveExpired)
{
  fake_.put(kind, to_string(content), spec_from_other_daemon(3, 1'300s));
  store_.start();
  wait_until([this] { return stored_crash_count() == 0; }, "the hold is removed");
  EXPECT_FALSE(is_held());
}

TEST_F(CrashStoreTest, IgnoresMalformedObjectsOfOtherWriters)
{
  fake_.put(kind, "no content", {{"crashes", 1}});
  fake_.put(kind, std::string(32, 'a'), boost::json::array{1, 2});
  fake_.put(kind, to_string(content), spec_from_other_daemon(3));
  store_.start();
  wait_until([this] { return is_held(); }, "the hold is read");
}

} // namespace
} // namespace wisteriaflow::relay
