// Limits the size of the reports in a fleet of 300 daemons with ten times as many endpoints and a
// hundred calls in progress at each daemon.
//
// In such a fleet a daemon sent and received 712 KB a second, and the busiest one 5,936 KB, because
// each report relayed the work of 24 peers at a hundred endpoints each, repeated departures for ten
// seconds and named every daemon. One daemon sent a call to an endpoint 4.8 s after that endpoint
// had announced that it leaves.

#include "relay/simulated_fleet.h"

namespace wisteriaflow::relay {
namespace {

class ExchangeSizeTest : public simulated_fleet {
 protected:
  static constexpr std::size_t daemons = 300;
  static constexpr std::size_t endpoints = 10 * daemons;
  static constexpr int calls = 100; // per daemon

  void start_loaded_fleet(std::size_t number = daemons)
  {
    start_fleet(number);
    add_endpoints(10 * number, calls);
    run_for(2s);
  }

  // Bytes per second that each daemon sends and receives, in ascending order.
  std::vector<double> byte_rates()
  {
    for (const auto& d : daemons_) {
      d->reports = 0;
      d->brief_reports = 0;
    }
    run_for(1s);
    const auto size = static_cast<double>(report_bytes());
    const auto brief = static_cast<double>(report_bytes(fleet_state::report_extent::brief));
    std::vector<double> out;
    for (const auto& d : daemons_) {
      // An exchange sends one report in each direction.
      out.push_back(2 * (d->reports * size + d->brief_reports * brief));
    }
    std::sort(out.begin(), out.end());
    return out;
  }
};

TEST_F(ExchangeSizeTest, ADaemonOf300ExchangesAtMost16KilobytesASecond)
{
  start_loaded_fleet();
  const auto rates = byte_rates();
  EXPECT_LE(rates[daemons / 2], 16'000)
      << "a report has " << report_bytes() << " bytes, a brief one "
      << report_bytes(fleet_state::report_extent::brief);
  EXPECT_LE(rates.back(), 64'000);
}

TEST_F(ExchangeSizeTest, AReportDoesNotGrowWhenAZonesEndpointsLeave)
{
  constexpr std::size_t number = 60; // daemons; a smaller fleet shows the same growth
  start_loaded_fleet(number);
  const auto before = report_bytes();
  for (std::size_t n = 0; n < 10 * number / 4; ++n) {
    read_departure(*daemons_[0], n, 10 * number + 1 + n);
  }
  run_for(3s);
  EXPECT_LE(report_bytes(), before + before / 4);
}

TEST_F(ExchangeSizeTest, AReportDoesNotGrowWhenAZonesEndpointsAnnounceRateLimits)
{
  constexpr std::size_t number = 60;
  start_loaded_fleet(number);
  const auto before = report_bytes();
  for (std::size_t n = 0; n < 10 * number / 4; ++n) {
    daemons_[n % number]->state.apply_answer_terms(
        {.process = {.id = simulated_endpoint(n)}, .terms = {.request_rate = 1.5}, .sent_at = now_},
        now_);
  }
  run_for(3s);
  EXPECT_LE(report_bytes(), before + before / 4);
}

TEST_F(ExchangeSizeTest, All300DaemonsKnowThatAnEndpointLeavesWithin1500Milliseconds)
{
  start_loaded_fleet();
  loss_rate_ = 0.05;
  read_departure(*daemons_[7], 11, endpoints + 1);
  run_for(1'500ms);
  EXPECT_EQ(unaware_of_departure(11), 0U);
}

} // namespace
} // namespace wisteriaflow::relay
