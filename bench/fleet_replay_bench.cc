// Replays the exchange of reports in fleets of different sizes, with the real state of every daemon
// on a simulated clock, and prints what grows with the fleet.
//
//   fleet_replay_bench --sizes=60,195,390,986
//
// Each daemon has two calls in progress, and there are three times as many endpoints as daemons.
// A twentieth of the exchanges fails after the first seconds, nine if --settle_s doesn't say
// otherwise.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>

#include "relay/simulated_fleet.h"

ABSL_FLAG(std::vector<std::string>, sizes, (std::vector<std::string>{"60", "195", "390"}),
          "numbers of daemons");
ABSL_FLAG(int, settle_s, 9, "seconds from the start until exchanges begin to fail; at least 4");

namespace wisteriaflow::relay {
namespace {

class fleet_replay : public simulated_fleet {
 public:
  void TestBody() override {}

  void measure(std::size_t daemons)
  {
    using clock = std::chrono::steady_clock;
    const auto started = clock::now();
    start_fleet(daemons);
    add_endpoints(3 * daemons, calls);
    const auto begin = now_;
    run_for(4s);
    const double silent_after_start = silent_share();
    run_for(std::chrono::seconds(absl::GetFlag(FLAGS_settle_s)) - 4s);
    loss_rate_ = 0.05;
    double silent = 0;
    for (int i = 0; i < 4; ++i) {
      run_for(500ms);
      silent = std::max(silent, silent_share());
    }
    const double known = known_work();
    const auto rates = byte_rates();
    const auto full = report_bytes(fleet_state::report_extent::full);
    const auto counted = time_until_counted();
    const auto departure = time_until([&] { return unaware_of_departure(11) == 0; },
                                      [&] { read_departure(*daemons_[7], 11, 3 * daemons + 1); });
    const auto death = time_until([&] { return unaware_of_death() <= daemons / 1'000; },
                                  [&] { daemons_[dead_daemon]->alive = false; });
    const std::chrono::duration<double> spent = clock::now() - started;
    const std::chrono::duration<double> simulated = now_ - begin;
    const double cores = spent.count() / simulated.count() / static_cast<double>(daemons);
    std::printf("| %zu | %.4f | %.4f | %.1f / %.1f | %zu | %s | %s | %s | %.2f | %.1f | %.4f |\n",
                daemons, silent_after_start, silent, rates[rates.size() / 2] / 1'000,
                rates.back() / 1'000, full, text(counted).c_str(), text(departure).c_str(),
                text(death).c_str(), known, store_reads_, cores);
    std::fflush(stdout);
  }

 private:
  static constexpr int calls = 2; // per daemon
  double store_reads_ = 0;        // of the whole fleet, per second
  static constexpr std::size_t dead_daemon = 13;
  static constexpr milliseconds max_wait{15'000};

  [[nodiscard]] double silent_share() const
  {
    const auto n = static_cast<double>(daemons_.size());
    return static_cast<double>(falsely_silent_pairs()) / (n * (n - 1));
  }

  [[nodiscard]] std::size_t unaware_of_death() const
  {
    const auto& id = daemons_[dead_daemon]->state.options.id;
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(),
                      [&](const auto& d) { return d->alive && d->state.peers.is_live(id, now_); }));
  }

  // Bytes per second that each daemon receives, in ascending order; it sends as many.
  std::vector<double> byte_rates()
  {
    for (const auto& d : daemons_) {
      d->reports = 0;
      d->brief_reports = 0;
      d->store_reads = 0;
    }
    run_for(2s);
    for (const auto& d : daemons_) {
      store_reads_ += d->store_reads / 2.0;
    }
    const auto size = static_cast<double>(report_bytes(fleet_state::report_extent::full));
    const auto brief = static_cast<double>(report_bytes(fleet_state::report_extent::brief));
    std::vector<double> out;
    for (const auto& d : daemons_) {
      out.push_back((d->reports * size + d->brief_reports * brief) / 2);
    }
    std::sort(out.begin(), out.end());
    return out;
  }

  // Time after the end of a usage window until the leader has the counts of all daemons.
  std::optional<milliseconds> time_until_counted()
  {
    auto& leader = *daemons_[7];
    leader.state.set_leader(true);
    const auto window = count_one_request_at_each();
    return time_until([&] { return counted_at(leader, window) == daemons_.size(); }, [] {});
  }

  // Share of the daemons whose work one daemon knows; the lowest.
  [[nodiscard]] double known_work() const
  {
    std::size_t least = daemons_.size();
    for (const auto& d : daemons_) {
      least = std::min(least, d->state.endpoints.peers().peer_count() + 1);
    }
    return static_cast<double>(least) / static_cast<double>(daemons_.size());
  }

  template <typename condition, typename action>
  std::optional<milliseconds> time_until(condition holds, action cause)
  {
    constexpr milliseconds step{100};
    cause();
    for (milliseconds waited{0}; waited <= max_wait; waited += step) {
      if (holds()) {
        return waited;
      }
      run_for(step);
    }
    return std::nullopt;
  }

  static std::string text(std::optional<milliseconds> time)
  {
    return time ? std::to_string(time->count()) : "over " + std::to_string(max_wait.count());
  }
};

int run(const std::vector<std::string>& sizes)
{
  std::puts(
      "| daemons | live taken for silent 4 s after the start | worst later | KB/s received, "
      "middle / busiest | report, bytes | all counts at the leader, ms | departure known to "
      "all, ms | death known to 99.9%, ms | least share of daemons whose work is known | reads "
      "of the store a second | cores of a daemon for state |");
  std::puts("| --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |");
  for (const auto& text : sizes) {
    std::size_t daemons = 0;
    if (!absl::SimpleAtoi(text, &daemons) || daemons < 20) {
      std::fprintf(stderr, "not a number of daemons from 20 on: %s\n", text.c_str());
      return 2;
    }
    fleet_replay().measure(daemons);
  }
  return 0;
}

} // namespace
} // namespace wisteriaflow::relay

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  return wisteriaflow::relay::run(absl::GetFlag(FLAGS_sizes));
}
