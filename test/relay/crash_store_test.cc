#include <chrono>
#include <functional>
#include <string>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_store.h"
#include "relay/crash_store.h"
#include "wisteriaflow/gateway/crash_codec.h"

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

  void end_endpoints(int number)
  {
    for (int i = 0; i < number; ++i) {
      state_.crashes.on_crash({.process = {.id = endpoint_id("i-" + std::to_string(i))},
                               .content = content,
                               .at = state_.fleet_time()});
    }
  }

  // What another daemon would have written.
  boost::json::value written_elsewhere(int number, std::chrono::seconds ago = 0s)
  {
    gateway::crash_report news;
    for (int i = 0; i < number; ++i) {
      news.crashes.push_back({.process = {.id = endpoint_id("j-" + std::to_string(i))},
                              .at = state_.fleet_time() - ago,
                              .suspects = {{content, gateway::answer_stage::not_begun}}});
    }
    return encode_crash_report(news);
  }

  void wait_until(const std::function<bool()>& probe, const char* what)
  {
    const auto deadline = std::chrono::steady_clock::now() + 60s;
    while (!probe()) {
      ASSERT_LT(std::chrono::steady_clock::now(), deadline) << what;
      context_.restart();
      context_.run_for(20ms);
    }
  }

  void run_for(std::chrono::milliseconds time)
  {
    context_.restart();
    context_.run_for(time);
  }

  [[nodiscard]] bool is_held() { return state_.crashes.hold_of(content).has_value(); }

  [[nodiscard]] std::size_t ends_stored() const
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

TEST_F(CrashStoreTest, WritesWhatAHoldRestsOn)
{
  store_.start();
  end_endpoints(3);
  wait_until([this] { return ends_stored() == 3; }, "the hold is stored");
}

TEST_F(CrashStoreTest, WritesNothingOfAMereSuspicion)
{
  store_.start();
  end_endpoints(2);
  run_for(600ms);
  EXPECT_EQ(ends_stored(), 0U);
}

TEST_F(CrashStoreTest, WritesFurtherEnds)
{
  store_.start();
  end_endpoints(3);
  wait_until([this] { return ends_stored() == 3; }, "the hold is stored");
  end_endpoints(4);
  wait_until([this] { return ends_stored() == 4; }, "the further end is stored");
}

TEST_F(CrashStoreTest, ReadsAtItsStartWhatDaemonsBeforeItWrote)
{
  fake_.put(kind, to_string(content), written_elsewhere(3));
  store_.start();
  wait_until([this] { return is_held(); }, "the hold is read");
}

TEST_F(CrashStoreTest, ReadsAsSoonAsAStoreThatWasAwayAnswers)
{
  fake_.put(kind, to_string(content), written_elsewhere(3));
  fake_.away = true;
  store_.start();
  run_for(500ms);
  EXPECT_FALSE(is_held());
  fake_.away = false;
  wait_until([this] { return is_held(); }, "the hold is read");
}

TEST_F(CrashStoreTest, WritesAsSoonAsAStoreThatWasAwayAnswers)
{
  store_.start();
  fake_.away = true;
  end_endpoints(3);
  run_for(500ms);
  fake_.away = false;
  wait_until([this] { return ends_stored() == 3; }, "the hold is stored");
}

TEST_F(CrashStoreTest, ReadsWhatIsWrittenBehindACutFromAPeer)
{
  store_.start();
  run_for(300ms);
  gateway::peer_report report;
  report.self = {.id = daemon_id("peer"), .incarnation = 1};
  state_.peers.on_report(report, std::chrono::steady_clock::now() - 2s); // silent since
  fake_.put(kind, to_string(content), written_elsewhere(3));
  wait_until([this] { return is_held(); }, "the hold is read");
}

TEST_F(CrashStoreTest, JoinsWhatAnotherDaemonHasWrittenMeanwhile)
{
  store_.start();
  run_for(300ms);
  fake_.put(kind, to_string(content), written_elsewhere(2));
  end_endpoints(3);
  wait_until([this] { return ends_stored() >= 3; }, "the hold is stored");
  EXPECT_EQ(state_.crashes.times_suspected(content), 5U);
}

TEST_F(CrashStoreTest, RemovesAHoldOnceTheContentIsAnswered)
{
  store_.start();
  end_endpoints(3);
  wait_until([this] { return ends_stored() == 3; }, "the hold is stored");
  state_.crashes.on_answered(content, state_.fleet_time());
  wait_until([this] { return ends_stored() == 0; }, "the hold is removed");
}

TEST_F(CrashStoreTest, RemovesAHoldWhoseCrashesAreTooLongAgo)
{
  fake_.put(kind, to_string(content), written_elsewhere(3, 1'300s));
  store_.start();
  wait_until([this] { return ends_stored() == 0; }, "the hold is removed");
  EXPECT_FALSE(is_held());
}

TEST_F(CrashStoreTest, IsNotHarmedByObjectsOfOtherWriters)
{
  fake_.put(kind, "no content", {{"crashes", 1}});
  fake_.put(kind, std::string(32, 'a'), boost::json::array{1, 2});
  fake_.put(kind, to_string(content), written_elsewhere(3));
  store_.start();
  wait_until([this] { return is_held(); }, "the hold is read");
}

} // namespace
} // namespace wisteriaflow::relay
