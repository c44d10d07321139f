#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "wisteriaflow/gateway/peer_work_totals.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};
const daemon_id first("d1");
const daemon_id second("d2");
const endpoint_id here("e1");
const endpoint_id there("e2");

class PeerWorkTotalsTest : public testing::Test {
 protected:
  peer_work_totals peers_{3'500ms};
};

TEST_F(PeerWorkTotalsTest, AddsUpTheWorkOfPeersAtAnEndpoint)
{
  peers_.on_work(first, {{here, {.waiting = 1, .running = 2, .waiting_tokens = 300}}}, start);
  peers_.on_work(second, {{here, {.waiting = 4, .running = 1, .waiting_tokens = 50}}}, start);
  EXPECT_EQ(peers_.total_at(here),
            (endpoint_work{.waiting = 5, .running = 3, .waiting_tokens = 350}));
}

TEST_F(PeerWorkTotalsTest, ANewReportReplacesTheOneBefore)
{
  peers_.on_work(first, {{here, {.waiting = 3}}}, start);
  peers_.on_work(first, {{there, {.running = 1}}}, start + 1s);
  EXPECT_EQ(peers_.total_at(here), endpoint_work{});
  EXPECT_EQ(peers_.total_at(there), endpoint_work{.running = 1});
}

TEST_F(PeerWorkTotalsTest, AnExpiredReportNoLongerCounts)
{
  peers_.on_work(first, {{here, {.waiting = 3}}}, start);
  peers_.on_work(second, {{here, {.waiting = 1}}}, start + 2s);
  peers_.expire(start + 4s);
  EXPECT_EQ(peers_.total_at(here), endpoint_work{.waiting = 1});
  EXPECT_EQ(peers_.peer_count(), 1U);
}

TEST_F(PeerWorkTotalsTest, AnOlderReportOfAPeerIsIgnored)
{
  peers_.on_work(first, {{here, {.waiting = 3}}}, start + 1s);
  peers_.on_work(first, {{here, {.waiting = 9}}}, start);
  EXPECT_EQ(peers_.total_at(here), endpoint_work{.waiting = 3});
}

TEST_F(PeerWorkTotalsTest, ReportsAboutTheProcessBeforeARestartAreDropped)
{
  peers_.on_work(first, {{here, {.waiting = 3}}, {there, {.waiting = 1}}}, start);
  peers_.forget_endpoint(here);
  EXPECT_EQ(peers_.total_at(here), endpoint_work{});
  EXPECT_EQ(peers_.work_of(first), (endpoint_work_map{{there, {.waiting = 1}}}));
}

TEST_F(PeerWorkTotalsTest, AddsUpTheDemandForAService)
{
  peers_.on_prefill(first, {{"chat", 100.0}, {"other", 7.0}}, start);
  peers_.on_prefill(second, {{"chat", 50.0}}, start);
  EXPECT_DOUBLE_EQ(peers_.total_prefill("chat"), 150);
}

TEST_F(PeerWorkTotalsTest, AnEmptyEntryDoesNoHarm)
{
  peers_.on_work(first, {{here, {}}}, start);
  peers_.on_work(first, {}, start + 1s);
  EXPECT_EQ(peers_.total_at(here), endpoint_work{});
}

TEST(PeerWorkTotalsPropertyTest, SumsEqualThoseRecomputedFromAllReports)
{
  rc::check([] {
    peer_work_totals peers(3'500ms);
    std::map<daemon_id, std::pair<endpoint_work_map, mono_time>> reported;
    auto now = start;
    const auto steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
      const daemon_id peer("d" + std::to_string(*rc::gen::inRange(0, 4)));
      endpoint_work_map work;
      for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
        const endpoint_id id("e" + std::to_string(*rc::gen::inRange(0, 5)));
        work[id] = {.waiting = *rc::gen::inRange(0U, 5U),
                    .running = *rc::gen::inRange(0U, 5U),
                    .waiting_tokens = *rc::gen::inRange(0U, 9'000U)};
      }
      peers.on_work(peer, work, now);
      reported[peer] = {work, now};
    }
    peers.expire(now);
    endpoint_work_map expected;
    for (const auto& [peer, it] : reported) {
      for (const auto& [id, w] : it.first) {
        const bool counts = now < it.second + 3'500ms;
        expected[id].waiting += counts ? w.waiting : 0;
        expected[id].running += counts ? w.running : 0;
        expected[id].waiting_tokens += counts ? w.waiting_tokens : 0;
      }
    }
    for (const auto& [id, w] : expected) {
      RC_ASSERT(peers.total_at(id) == w);
    }
  });
}

} // namespace
} // namespace wisteriaflow::gateway
