// Membership at the planned size: how fast all know that a member leaves, bytes, time and memory a
// daemon, and how the ways to give endpoints to daemons compare.
//
//   build/membership_bench --seeds=5 --json=membership.json

#include "membership_bench_fleet.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/membership/subsets.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>
#include <malloc.h>

ABSL_FLAG(int, seeds, 5, "leave events for each size and condition, one seed each");
ABSL_FLAG(std::string, json, "", "file for the results as JSON");
ABSL_FLAG(bool, quick, false, "the two smaller sizes only");

namespace wisteriaflow::membership {
namespace {

constexpr std::int64_t warm_up_ms = 10'000;
constexpr std::int64_t steady_ms = 20'000;
constexpr std::int64_t leave_limit_ms = 10'000;

double cpu_seconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

fleet_options size_of(int daemons, std::uint64_t seed)
{
  // Endpoints and zones in proportion to the planned 390 daemons, 2,500 endpoints, 11 zones.
  return {.daemons = daemons,
          .endpoints = daemons * 2500 / 390,
          .zones = std::max(4, daemons * 11 / 390),
          .seed = seed};
}

std::uint64_t mean_of(const std::vector<std::uint64_t>& values)
{
  return std::accumulate(values.begin(), values.end(), std::uint64_t{0}) / values.size();
}

// Steady state of one size, with `workspaces` in use on every daemon.
boost::json::object measure_steady(int daemons, int workspaces)
{
  auto options = size_of(daemons, 1);
  options.workspaces = workspaces;
  const auto heap_before = mallinfo2().uordblks;
  bench_fleet fleet(options);
  fleet.run_for(warm_up_ms);
  const auto heap = mallinfo2().uordblks - heap_before;
  fleet.take_bytes();
  const auto cpu = cpu_seconds();
  fleet.run_for(steady_ms);
  const auto used = cpu_seconds() - cpu;
  const auto bytes = fleet.take_bytes();
  constexpr double seconds = steady_ms / 1000.0;
  fleet.run_for(15'000); // By now, a daemon never heard would be suspected.
  return {{"daemons", daemons},
          {"workspaces", workspaces},
          {"bytes_per_s_mean", static_cast<double>(mean_of(bytes)) / seconds},
          {"bytes_per_s_max", static_cast<double>(std::ranges::max(bytes)) / seconds},
          {"cpu_us_per_s", used * 1e6 / seconds / daemons},
          {"heap_kb", heap / 1024 / static_cast<std::size_t>(daemons)},
          {"wrongly_suspected", fleet.suspected()}};
}

// Milliseconds until all daemons know of one leaving endpoint, over the seeds.
boost::json::object measure_leave(int daemons, double loss, bool first_told_dies)
{
  std::vector<std::int64_t> times;
  int missed = 0;
  auto options = size_of(daemons, 1);
  options.loss = loss;
  bench_fleet fleet(options);
  fleet.run_for(warm_up_ms);
  for (int seed = 0; seed < absl::GetFlag(FLAGS_seeds); ++seed) {
    const member_key key{member_kind::endpoint, "e" + std::to_string(seed)};
    fleet.announce(seed, key, 30'000);
    if (first_told_dies) {
      fleet.kill(seed);
    }
    const auto ms = fleet.run_until_known(key, leave_limit_ms);
    missed += ms < 0 || ms > 2000 ? 1 : 0;
    times.push_back(ms < 0 ? leave_limit_ms : ms);
    fleet.run_for(1500);
  }
  std::ranges::sort(times);
  return {{"daemons", daemons},
          {"loss", loss},
          {"first_told_dies", first_told_dies},
          {"events", times.size()},
          {"ms_median", times[times.size() / 2]},
          {"ms_max", times.back()},
          {"over_2_s", missed}};
}

// A zone's instances all get notices, each from a random daemon, within a second; then they die.
boost::json::object measure_zone_loss(int daemons)
{
  const auto options = size_of(daemons, 1);
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
  for (std::size_t i = 0; i < leaving.size(); ++i) {
    fleet.announce(static_cast<int>(i * 7919) % daemons, leaving[i], 10'000);
    if (i % (leaving.size() / 50 + 1) == 0) {
      fleet.run_for(20);
    }
  }
  std::int64_t last_ms = 0;
  for (const auto& key : leaving) {
    const auto ms = fleet.run_until_known(key, leave_limit_ms);
    last_ms += ms;
  }
  fleet.run_for(10'000 - last_ms);
  const auto notices = fleet.take_bytes();
  for (int i = 0; i < options.daemons; i += options.zones) {
    fleet.kill(i);
  }
  std::uint64_t peak = 0;
  for (int s = 0; s < 30; ++s) {
    fleet.run_for(1000);
    peak = std::max(peak, mean_of(fleet.take_bytes()));
  }
  return {{"daemons", daemons},
          {"members_lost", leaving.size()},
          {"ms_after_last_notice", last_ms},
          {"bytes_per_s_mean_10s", mean_of(notices) / 10},
          {"bytes_per_s_worst_second_after", peak},
          {"distinct_views_at_end", fleet.distinct_views()}};
}

using chooser = std::function<std::vector<std::vector<int>>(int daemons, int endpoints)>;

struct subset_figures {
  std::string name;
  std::vector<std::vector<int>> held;
};

std::vector<const member*> pointers_to(const std::vector<member>& members)
{
  std::vector<const member*> found;
  found.reserve(members.size());
  for (const auto& m : members) {
    found.push_back(&m);
  }
  return found;
}

// The project's own way.
std::vector<std::vector<int>> two_sided(int daemons, int endpoints)
{
  const fleet_options options;
  std::vector<member> all_daemons;
  all_daemons.reserve(daemons);
  std::vector<member> all_endpoints;
  all_endpoints.reserve(endpoints);
  for (int i = 0; i < daemons; ++i) {
    all_daemons.push_back(bench_daemon(i, options));
  }
  for (int i = 0; i < endpoints; ++i) {
    all_endpoints.push_back(bench_endpoint(i, options));
  }
  std::vector<std::vector<int>> held;
  for (const auto& d : all_daemons) {
    auto& mine = held.emplace_back();
    for (const auto& e :
         subset_of(daemon_id{d.key.id}, pointers_to(all_daemons), pointers_to(all_endpoints))) {
      mine.push_back(std::stoi(e.value().substr(1)));
    }
  }
  return held;
}

// Each daemon takes the 64 endpoints with the highest scores; random choice is alike in coverage,
// but moves wholly when it is drawn again.
std::vector<std::vector<int>> daemon_rendezvous(int daemons, int endpoints)
{
  std::vector<std::vector<int>> held;
  for (int d = 0; d < daemons; ++d) {
    std::vector<int> ranked(endpoints);
    std::iota(ranked.begin(), ranked.end(), 0);
    std::ranges::partial_sort(
        ranked, ranked.begin() + std::min(64, endpoints), std::greater{}, [d](int e) {
          return rendezvous_score(hash64_of("d" + std::to_string(d)), "e" + std::to_string(e));
        });
    ranked.resize(std::min(64, endpoints));
    held.push_back(std::move(ranked));
  }
  return held;
}

// Each daemon takes the 64 endpoints that follow it on a hash ring.
std::vector<std::vector<int>> ring(int daemons, int endpoints)
{
  std::map<std::uint64_t, int> points;
  for (int e = 0; e < endpoints; ++e) {
    points.emplace(hash64_of("e" + std::to_string(e)), e);
  }
  std::vector<std::vector<int>> held;
  for (int d = 0; d < daemons; ++d) {
    auto& mine = held.emplace_back();
    auto it = points.lower_bound(hash64_of("d" + std::to_string(d)));
    while (std::ssize(mine) < 64) {
      it = it == points.end() ? points.begin() : it;
      mine.push_back((it++)->second);
    }
  }
  return held;
}

// Deterministic subsetting: rounds of daemons share out one shuffled list.
std::vector<std::vector<int>> shuffled_rounds(int daemons, int endpoints)
{
  const int in_round = std::max(1, endpoints / 64);
  std::vector<std::vector<int>> held;
  for (int d = 0; d < daemons; ++d) {
    std::vector<int> order(endpoints);
    std::iota(order.begin(), order.end(), 0);
    std::mt19937_64 random(static_cast<std::uint64_t>(d / in_round));
    std::ranges::shuffle(order, random);
    const auto begin = order.begin() + static_cast<std::ptrdiff_t>(d % in_round) * 64;
    held.emplace_back(begin, begin + 64);
  }
  return held;
}

// Endpoints newly taken on, over all daemons but the one that left.
std::size_t moved_between(const std::vector<std::vector<int>>& before,
                          const std::vector<std::vector<int>>& after)
{
  std::size_t moved = 0;
  for (std::size_t d = 0; d < after.size(); ++d) {
    for (const int e : after[d]) {
      moved += std::ranges::find(before[d], e) == before[d].end() ? 1U : 0U;
    }
  }
  return moved;
}

boost::json::object measure_subsets(const std::string& name, const chooser& choose)
{
  constexpr int daemons = 390;
  constexpr int endpoints = 2500;
  const auto cpu = cpu_seconds();
  const auto held = choose(daemons, endpoints);
  const auto used = cpu_seconds() - cpu;
  std::vector<int> holders(endpoints);
  std::vector<std::size_t> sizes;
  for (const auto& mine : held) {
    sizes.push_back(mine.size());
    for (const int e : mine) {
      ++holders[e];
    }
  }
  const double mean_holders = std::accumulate(holders.begin(), holders.end(), 0.0) / endpoints;
  return {
      {"way", name},
      {"holders_min", std::ranges::min(holders)},
      {"holders_mean", mean_holders},
      {"holders_max", std::ranges::max(holders)},
      {"endpoints_under_3_holders", std::ranges::count_if(holders, [](int n) { return n < 3; })},
      {"subset_min", std::ranges::min(sizes)},
      {"subset_max", std::ranges::max(sizes)},
      {"moved_by_one_daemon", moved_between(held, choose(daemons - 1, endpoints))},
      {"moved_by_one_endpoint", moved_between(held, choose(daemons, endpoints - 1))},
      {"us_per_daemon", used * 1e6 / daemons}};
}

void print(const char* title, const boost::json::array& rows)
{
  std::printf("\n%s\n", title);
  for (const auto& row : rows) {
    for (const auto& [key, value] : row.as_object()) {
      const auto text =
          value.is_double() ? std::to_string(value.as_double()) : boost::json::serialize(value);
      std::printf("  %s=%s", std::string(key).c_str(), text.c_str());
    }
    std::printf("\n");
  }
  std::fflush(stdout);
}

void run()
{
  std::vector<int> sizes = {50, 100, 200, 390};
  if (absl::GetFlag(FLAGS_quick)) {
    sizes = {50, 100};
  }
  boost::json::object results;
  auto measure = [&](const char* title, const std::function<void(boost::json::array&)>& fill) {
    boost::json::array rows;
    fill(rows);
    print(title, rows);
    results[title] = std::move(rows);
  };
  measure("subsets", [](auto& rows) {
    rows.push_back(measure_subsets("two-sided rendezvous", two_sided));
    rows.push_back(measure_subsets("daemon-side rendezvous", daemon_rendezvous));
    rows.push_back(measure_subsets("ring", ring));
    rows.push_back(measure_subsets("deterministic rounds", shuffled_rounds));
  });
  measure("steady", [&](auto& rows) {
    for (const int n : sizes) {
      rows.push_back(measure_steady(n, 5));
    }
    rows.push_back(measure_steady(sizes.back(), 64));
  });
  measure("leave", [&](auto& rows) {
    for (const int n : sizes) {
      rows.push_back(measure_leave(n, 0, false));
      rows.push_back(measure_leave(n, 0, true));
      rows.push_back(measure_leave(n, 0.1, true));
      rows.push_back(measure_leave(n, 0.2, true));
    }
  });
  measure("zone loss", [&](auto& rows) {
    for (const int n : sizes) {
      rows.push_back(measure_zone_loss(n));
    }
  });
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
