// Simulates a day of one pool and measures what the capacity planner costs, how much of the demand
// it serves and how often it launches and releases instances. Compares it with simple policies and
// with variants of itself that have one rule disabled each. Also times one computation of the
// cheapest instance mix at the size that the system is designed for.
//
//   build/capacity_bench --seeds=5 --json=capacity.json

#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>

#include "capacity_bench_simulation.h"
#include "wisteriaflow/capacity/instance_mix.h"

ABSL_FLAG(int, seeds, 5, "days for each line, seeds 1, 2, ...");
ABSL_FLAG(double, price_ratio, 0.3, "mean price of a reclaimable instance against on-demand");
ABSL_FLAG(double, payback_minutes, 0, "payback horizon; 0: the planner's default");
ABSL_FLAG(bool, second_wave, true, "whether a second zone is struck 30 s after the first one");
ABSL_FLAG(std::string, only, "", "only the lines whose name holds this text");
ABSL_FLAG(std::string, json, "", "file for the results as JSON");

namespace wisteriaflow::capacity {
namespace {

// One row of the table: a policy and the planner options that it changes.
struct scenario {
  std::string name;
  policy policy_kind = policy::planned;
  double max_reclaimable_share = 1;
  std::function<void(planner_options&)> adjust_options = [](planner_options& /*rules*/) {};
};

std::vector<scenario> scenarios()
{
  constexpr double authority_share = 0.58;
  return {
      {.name = "on-demand only", .policy_kind = policy::on_demand_only},
      {.name = "reclaimable only", .policy_kind = policy::reclaimable_only},
      {.name = "static mix", .policy_kind = policy::static_mix},
      {.name = "planner, 58%", .max_reclaimable_share = authority_share},
      {.name = "planner, free mix"},
      {.name = "- hysteresis",
       .adjust_options = [](auto& rules) { rules.switch_hysteresis = false; }},
      {.name = "- zone headroom",
       .adjust_options = [](auto& rules) { rules.zone_headroom = false; }},
      {.name = "- launch backoff",
       .adjust_options = [](auto& rules) { rules.back_off_refused = false; }},
      {.name = "- reclaim backoff",
       .adjust_options =
           [](auto& rules) { rules.backoff.reclaim_backoff = std::chrono::milliseconds{0}; }},
      {.name = "- late release",
       .adjust_options =
           [](auto& rules) { rules.release_after = std::chrono::milliseconds{1'000}; }},
  };
}

void add(day_result& sum, const day_result& one)
{
  sum.cost += one.cost;
  sum.on_demand_hours += one.on_demand_hours;
  sum.reclaimable_hours += one.reclaimable_hours;
  sum.served += one.served;
  sum.demanded += one.demanded;
  sum.min_served_after_loss = std::min(sum.min_served_after_loss, one.min_served_after_loss);
  sum.short_minutes += one.short_minutes;
  sum.launches += one.launches;
  sum.refused_launches += one.refused_launches;
  sum.releases += one.releases;
  sum.unanswered_launches += one.unanswered_launches;
  sum.plan_microseconds += one.plan_microseconds;
}

boost::json::object run_scenarios(const std::string& deployment, int runners)
{
  const int seeds = absl::GetFlag(FLAGS_seeds);
  std::printf("\n%s: %d runners at the peak, 4 zones, price ratio %.2f, seeds 1 to %d\n",
              deployment.c_str(), runners, absl::GetFlag(FLAGS_price_ratio), seeds);
  std::printf("%-18s %9s %8s %8s %9s %9s %9s %9s %8s %8s %8s\n", "policy", "cost/day", "saved",
              "recl.", "served", "worst", "short", "launches", "refused", "releases", "plan us");
  boost::json::object out;
  double on_demand_cost = 0;
  for (const auto& t : scenarios()) {
    const bool is_filtered_out = t.name.find(absl::GetFlag(FLAGS_only)) == std::string::npos;
    if (is_filtered_out && t.policy_kind != policy::on_demand_only) {
      continue; // needed even if filtered out: savings are relative to its cost
    }
    day_result sum;
    for (int seed = 1; seed <= seeds; ++seed) {
      planner_options rules;
      const double payback = absl::GetFlag(FLAGS_payback_minutes);
      if (payback > 0) {
        rules.payback_horizon = std::chrono::milliseconds(static_cast<int>(payback * 60'000));
      }
      t.adjust_options(rules);
      add(sum, run_day({.seed = static_cast<std::uint64_t>(seed),
                        .runners = runners,
                        .price_ratio = absl::GetFlag(FLAGS_price_ratio),
                        .max_reclaimable_share = t.max_reclaimable_share,
                        .second_wave = absl::GetFlag(FLAGS_second_wave)},
                       t.policy_kind, rules));
    }
    const double n = seeds;
    if (t.policy_kind == policy::on_demand_only) {
      on_demand_cost = sum.cost;
    }
    const double saved = 1 - sum.cost / on_demand_cost;
    const double reclaimable =
        sum.reclaimable_hours / (sum.reclaimable_hours + sum.on_demand_hours);
    const double served = sum.served / sum.demanded;
    std::printf("%-18s %9.1f %7.1f%% %7.1f%% %8.3f%% %8.1f%% %6.1fmin %9.1f %8.1f %8.1f %8.0f\n",
                t.name.c_str(), sum.cost / n, saved * 100, reclaimable * 100, served * 100,
                sum.min_served_after_loss * 100, sum.short_minutes / n, sum.launches / n,
                sum.refused_launches / n, sum.releases / n, sum.plan_microseconds / n);
    std::fflush(stdout);
    out[t.name] = boost::json::object{{"cost_per_day", sum.cost / n},
                                      {"saved_against_on_demand", saved},
                                      {"reclaimable_share", reclaimable},
                                      {"served_share", served},
                                      {"worst_share_after_zone_loss", sum.min_served_after_loss},
                                      {"short_minutes_per_day", sum.short_minutes / n},
                                      {"launches_per_day", sum.launches / n},
                                      {"refused_per_day", sum.refused_launches / n},
                                      {"releases_per_day", sum.releases / n},
                                      {"lost_answers_per_day", sum.unanswered_launches / n},
                                      {"plan_microseconds", sum.plan_microseconds / n}};
  }
  return out;
}

// Times one solution at the design size: 11 zones, 3 instance classes and the capacity of 2,500
// small instances.
boost::json::object time_planned_size()
{
  constexpr int zones = 11;
  constexpr double instances = 2'500;
  mix_problem problem{.required = 1.2, .max_reclaimable_share = 0.58};
  for (int z = 0; z < zones; ++z) {
    int size = 1;
    for (const auto* name : {"small", "medium", "large"}) {
      for (const bool reclaimable : {true, false}) {
        problem.columns.push_back(
            {.key = {availability_zone(std::to_string(z)), name, reclaimable},
             .price_per_hour = size * (reclaimable ? 0.25 + 0.01 * z : 1.0 - 0.02 * size),
             .weight = size / instances});
      }
      size *= 2;
    }
  }
  const auto begun = std::chrono::steady_clock::now();
  const auto m = cheapest_mix(problem);
  const double ms =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
  std::printf("\nplanned size (11 zones, 3 classes, 2,500 instances' worth): one mix in %.1f ms, "
              "requirements %s\n",
              ms, m.meets_requirements ? "met" : "not met");
  return {{"milliseconds", ms}, {"meets_requirements", m.meets_requirements}};
}

int run()
{
  boost::json::object results;
  constexpr int authority_runners = 9;
  constexpr int association_runners = 18;
  results["planned_size"] = time_planned_size();
  results["authority"] = run_scenarios("Authority", authority_runners);
  results["association"] = run_scenarios("Association", association_runners);
  const auto path = absl::GetFlag(FLAGS_json);
  if (!path.empty()) {
    std::ofstream(path) << boost::json::serialize(results) << "\n";
  }
  return 0;
}

} // namespace
} // namespace wisteriaflow::capacity

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  return wisteriaflow::capacity::run();
}
