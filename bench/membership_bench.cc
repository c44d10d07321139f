// Measures the membership protocol in fleets up to the size that the system is designed for: how
// fast all daemons learn that a member leaves or has died, and the bytes sent by message part, the
// processor time and the memory of a daemon.
//
//   build/membership_bench --measure=steady,leave,zone,silent,subsets --events=5 --json=out.json

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>
#include <malloc.h>

#include "membership_bench_fleet.h"

ABSL_FLAG(std::vector<std::string>, measure,
          std::vector<std::string>({"subsets", "steady", "leave", "zone", "silent"}),
          "what is measured");
ABSL_FLAG(std::vector<std::string>, sizes, std::vector<std::string>({"50", "100", "200", "390"}),
          "numbers of daemons; endpoints and zones go with them");
ABSL_FLAG(int, events, 5, "leave events for each size and condition");
ABSL_FLAG(std::vector<std::string>, losses, std::vector<std::string>({"0", "0.1", "0.2"}),
          "shares of messages lost in leave events");
ABSL_FLAG(std::uint64_t, seed, 1, "of the choice of peers and of lost messages");
ABSL_FLAG(std::string, json, "", "file for the results as JSON");

namespace wisteriaflow::membership {
namespace {

constexpr std::int64_t warm_up_ms = 10'000;
constexpr std::int64_t leave_timeout_ms = 10'000;

using rows = boost::json::array;

double cpu_seconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

fleet_options options_for_size(int daemons)
{
  // Endpoints and zones in proportion to the planned 390 daemons, 2,500 endpoints, 11 zones.
  return {.daemons = daemons,
          .endpoints = daemons * 2500 / 390,
          .zones = std::max(4, daemons * 11 / 390),
          .seed = absl::GetFlag(FLAGS_seed)};
}

std::uint64_t sum_of(const wire_bytes& bytes)
{
  return std::reduce(bytes.begin(), bytes.end());
}

// Returns the bytes per second of each message part, as the mean over daemons.
boost::json::object bytes_per_second_by_part(const wire_bytes& bytes, int daemons, double seconds)
{
  boost::json::object parts;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    parts[wire_part_names.at(i)] =
        static_cast<std::int64_t>(static_cast<double>(bytes.at(i)) / daemons / seconds);
  }
  return parts;
}

// The second in which most bytes were sent, and the most that any daemon sent in one second.
struct peak_bytes {
  int second = 0;
  std::uint64_t worst_daemon = 0;
  wire_bytes bytes{};

  void record(int at_second, const bench_fleet::sent_bytes& sent)
  {
    worst_daemon = std::max(worst_daemon, sent.max_per_daemon);
    if (sum_of(sent.total) > sum_of(bytes)) {
      second = at_second;
      bytes = sent.total;
    }
  }

  [[nodiscard]] boost::json::object describe(int daemons) const
  {
    return {{"bytes_mean", sum_of(bytes) / daemons},
            {"at_second", second},
            {"parts", bytes_per_second_by_part(bytes, daemons, 1)},
            {"bytes_of_worst_daemon", worst_daemon}};
  }
};

// Measures a fleet without changes in which every daemon serves `workspaces` workspaces.
void measure_steady(int daemons, int workspaces, rows& out)
{
  constexpr std::int64_t seconds = 20;
  auto options = options_for_size(daemons);
  options.workspaces = workspaces;
  const auto heap_before = mallinfo2().uordblks;
  bench_fleet fleet(options);
  fleet.run_for(warm_up_ms);
  const auto heap = mallinfo2().uordblks - heap_before;
  fleet.take_bytes();
  const auto cpu = cpu_seconds();
  fleet.run_for(seconds * 1000);
  const auto used = cpu_seconds() - cpu;
  const auto sent = fleet.take_bytes();
  fleet.run_for(15'000); // long enough to suspect a daemon without heartbeats
  out.push_back(
      {{"daemons", daemons},
       {"workspaces", workspaces},
       {"bytes_per_s_mean", sum_of(sent.total) / daemons / seconds},
       {"bytes_per_s_max", sent.max_per_daemon / seconds},
       {"parts", bytes_per_second_by_part(sent.total, daemons, static_cast<double>(seconds))},
       {"cpu_us_per_s", static_cast<int>(used * 1e6 / static_cast<double>(seconds) / daemons)},
       {"heap_kb", heap / 1024 / static_cast<std::size_t>(daemons)},
       {"wrongly_suspected", fleet.count_failure_detections().suspected_alive}});
}

// Measures the milliseconds until all daemons know that an endpoint is leaving, when the only
// daemon that received the notice stops right after its first update.
void measure_leave(int daemons, double loss, rows& out)
{
  auto options = options_for_size(daemons);
  options.loss = loss;
  std::vector<std::int64_t> times;
  int lost = 0;
  const int events = absl::GetFlag(FLAGS_events);
  // Each event stops a daemon; a new fleet after 20 events keeps the share of dead daemons low.
  constexpr int events_of_fleet = 20;
  while (std::ssize(times) < events) {
    options.seed += 1000;
    bench_fleet fleet(options);
    fleet.run_for(warm_up_ms);
    for (int i = 0; i < events_of_fleet && std::ssize(times) < events; ++i) {
      const member_key key{member_kind::endpoint, "e" + std::to_string(i)};
      fleet.mark_leaving(i, key, 30'000);
      fleet.kill(i);
      const auto ms = fleet.run_until_known(key, leave_timeout_ms);
      lost += fleet.is_known_to_none(key) ? 1 : 0;
      times.push_back(ms < 0 ? leave_timeout_ms : ms);
      fleet.run_for(1500);
    }
  }
  std::ranges::sort(times);
  out.push_back({{"daemons", daemons},
                 {"loss", loss},
                 {"events", times.size()},
                 {"ms_median", times[times.size() / 2]},
                 {"ms_p99", times[times.size() * 99 / 100]},
                 {"ms_max", times.back()},
                 {"lost_with_first_told", lost},
                 {"over_2_s", std::ranges::count_if(times, [](auto ms) { return ms > 2000; })}});
}

// Measures the loss of a zone: all of its instances get a reclaim notice within one second, each
// through a daemon picked pseudo-randomly, and its daemons stop ten seconds later.
void measure_zone_loss(int daemons, rows& out)
{
  const auto options = options_for_size(daemons);
  bench_fleet fleet(options);
  fleet.run_for(warm_up_ms);
  fleet.take_bytes();
  std::vector<member_key> leaving;
  for (int i = 0; i < options.daemons; i += options.zones) {
    leaving.push_back({member_kind::daemon, "d" + std::to_string(i)});
  }
  for (int i = 0; i < options.endpoints; i += options.zones) {
    leaving.push_back({member_kind::endpoint, "e" + std::to_string(i)});
  }
  peak_bytes notices;
  constexpr std::size_t step_ms = 20;
  constexpr std::size_t wave_steps = 1000 / step_ms;
  std::vector<std::size_t> known_ms;
  std::set<std::size_t> not_yet_known;
  for (std::size_t step = 0; step < 500; ++step) {
    // All members are marked as leaving within the first of ten seconds.
    const auto announced = [&](std::size_t steps) {
      return std::min(steps * leaving.size() / wave_steps, leaving.size());
    };
    for (auto i = announced(step); i < announced(step + 1); ++i) {
      fleet.mark_leaving(static_cast<int>(i * 7919) % daemons, leaving[i], 10'000);
      not_yet_known.insert(i);
    }
    fleet.run_for(step_ms);
    std::erase_if(not_yet_known, [&](std::size_t i) {
      const bool known = fleet.is_known_to_all(leaving[i]);
      if (known) {
        known_ms.push_back((step + 1 - i * wave_steps / leaving.size()) * step_ms);
      }
      return known;
    });
    if (step % wave_steps == wave_steps - 1) {
      notices.record(static_cast<int>(step / wave_steps) + 1, fleet.take_bytes());
    }
  }
  for (int i = 0; i < options.daemons; i += options.zones) {
    fleet.kill(i);
  }
  std::ranges::sort(known_ms);
  peak_bytes after;
  for (int second = 1; second <= 30; ++second) {
    fleet.run_for(1000);
    after.record(second, fleet.take_bytes());
  }
  out.push_back({{"daemons", daemons},
                 {"members_lost", leaving.size()},
                 {"known", known_ms.size()},
                 {"known_ms_median", known_ms[known_ms.size() / 2]},
                 {"known_ms_max", known_ms.back()},
                 {"worst_second_of_notices", notices.describe(daemons)},
                 {"worst_second_after_loss", after.describe(fleet.alive())},
                 {"distinct_views_at_end", fleet.distinct_views()}});
}

// Measures how all daemons of a zone that stop without notice are suspected and then
// considered gone.
void measure_silent_loss(int daemons, rows& out)
{
  const auto options = options_for_size(daemons);
  bench_fleet fleet(options);
  fleet.run_for(warm_up_ms);
  fleet.take_bytes();
  for (int i = 0; i < options.daemons; i += options.zones) {
    fleet.kill(i);
  }
  const int alive = fleet.alive();
  const int pairs = alive * (daemons - alive);
  peak_bytes peak;
  std::map<std::string, int> seconds;
  int wrongly_gone = 0;
  for (int s = 1; s <= 90; ++s) {
    fleet.run_for(1000);
    peak.record(s, fleet.take_bytes());
    const auto found = fleet.count_failure_detections();
    wrongly_gone = std::max(wrongly_gone, found.gone_alive);
    const auto note = [&](const char* what, bool reached) {
      if (reached) {
        seconds.try_emplace(what, s);
      }
    };
    note("half_suspected", 2 * found.suspected_dead >= pairs);
    note("all_suspected", found.suspected_dead == pairs);
    note("first_gone", found.gone_dead > 0);
    note("all_gone", found.gone_dead == pairs);
  }
  out.push_back({{"daemons", daemons},
                 {"died", daemons - alive},
                 {"seconds_until", boost::json::value_from(seconds)},
                 {"wrongly_gone", wrongly_gone},
                 {"worst_second", peak.describe(alive)},
                 {"distinct_views_at_end", fleet.distinct_views()}});
}

// Measures how evenly the endpoints are distributed over the daemons' subsets.
void measure_subsets(int daemons, rows& out)
{
  const auto options = options_for_size(daemons);
  const auto cpu = cpu_seconds();
  const auto held = bench_subsets(options);
  const auto used = cpu_seconds() - cpu;
  std::map<endpoint_id, int> holders;
  std::vector<std::size_t> sizes;
  sizes.reserve(held.size());
  for (const auto& mine : held) {
    sizes.push_back(mine.size());
    for (const auto& e : mine) {
      ++holders[e];
    }
  }
  const auto by_count = [](const auto& item) { return item.second; };
  const auto [fewest, most] = std::ranges::minmax_element(holders, {}, by_count);
  out.push_back({{"daemons", daemons},
                 {"endpoints_held", holders.size()},
                 {"holders_min", fewest->second},
                 {"holders_max", most->second},
                 {"subset_min", std::ranges::min(sizes)},
                 {"subset_max", std::ranges::max(sizes)},
                 {"us_per_daemon", used * 1e6 / daemons}});
}

void run_measurement(const std::string& what, int daemons, rows& out)
{
  if (what == "subsets") {
    measure_subsets(daemons, out);
  } else if (what == "steady") {
    measure_steady(daemons, 5, out);
    measure_steady(daemons, 64, out);
  } else if (what == "leave") {
    for (const auto& loss : absl::GetFlag(FLAGS_losses)) {
      measure_leave(daemons, std::stod(loss), out);
    }
  } else if (what == "zone") {
    measure_zone_loss(daemons, out);
  } else if (what == "silent") {
    measure_silent_loss(daemons, out);
  }
}

void run()
{
  boost::json::object results;
  for (const auto& what : absl::GetFlag(FLAGS_measure)) {
    rows measured;
    std::printf("\n%s\n", what.c_str());
    for (const auto& size : absl::GetFlag(FLAGS_sizes)) {
      const auto printed = measured.size();
      run_measurement(what, std::stoi(size), measured);
      for (auto i = printed; i < measured.size(); ++i) {
        std::printf("  %s\n", boost::json::serialize(measured[i]).c_str());
      }
      std::fflush(stdout);
    }
    results[what] = std::move(measured);
  }
  if (const auto file = absl::GetFlag(FLAGS_json); !file.empty()) {
    std::ofstream(file) << boost::json::serialize(results) << '\n';
  }
}

} // namespace
} // namespace wisteriaflow::membership

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  wisteriaflow::membership::run();
}
