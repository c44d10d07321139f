// Kills all gateway daemons around a change of the service's versions while callers hold streams,
// and prints what becomes of the streams that they resume. Exits with status 1 if one was joined
// from two versions, ended early as complete, or if too few went on.
//
//   gateway_restart --case=at_2s --daemons=8 --zones=4 --seed=2
//   gateway_restart --case=replaced_meanwhile --daemon=/path/of/another/wisteriaflow-gatewayd

#include <algorithm>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "gateway_system/restart_run.h"

ABSL_FLAG(std::string, case, "at_2s", "name of the case; 'list' prints all names");
ABSL_FLAG(int, daemons, 6, "gateway daemons");
ABSL_FLAG(int, zones, 4, "availability zones of the daemons");
ABSL_FLAG(int, callers, 90, "callers, each with one stream at a time");
ABSL_FLAG(int, kills, 0, "how often daemons are killed; 0: as the case has it");
ABSL_FLAG(std::string, daemon, "", "the daemons' program; empty: the one of this build");
ABSL_FLAG(std::string, logs, "", "folder for the daemons' output");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the callers and of the drawn times");

int main(int argc, char** argv)
{
  using namespace wisteriaflow::gateway_system_tests;
  absl::ParseCommandLine(argc, argv);
  const auto name = absl::GetFlag(FLAGS_case);
  auto options = restart_case(name);
  if (!options) {
    for (const auto& each : restart_case_names()) {
      std::cout << each << "\n";
    }
    return name == "list" ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  options->daemons = absl::GetFlag(FLAGS_daemons);
  options->zones = absl::GetFlag(FLAGS_zones);
  options->callers = absl::GetFlag(FLAGS_callers);
  if (const int kills = absl::GetFlag(FLAGS_kills); kills > 0) {
    options->kills = kills;
  }
  options->program = absl::GetFlag(FLAGS_daemon);
  options->log_folder = absl::GetFlag(FLAGS_logs);
  options->seed = absl::GetFlag(FLAGS_seed);
  boost::asio::io_context context;
  restart_run run(context, *options);
  const auto result = run.run();
  std::cout << name << " seed " << options->seed << ": streams " << result.streams << ", cut "
            << result.cut << ", resumable " << result.resumable << ", went on " << result.went_on
            << ", joined " << result.joined << ", refused calls " << result.refused << " (late "
            << result.late_refusals << ", longest " << result.longest_refusal.count()
            << " ms), new " << result.new_streams << ", begun " << result.new_begun << "\n";
  for (const auto& [end, n] : result.ends) {
    std::cout << "  cut stream of " << end << ": " << n << "\n";
  }
  constexpr std::size_t max_printed = 5;
  for (std::size_t i = 0; i < std::min(max_printed, result.violations.size()); ++i) {
    std::cout << "BROKEN: " << result.violations[i] << "\n";
  }
  if (result.violations.size() > max_printed) {
    std::cout << "BROKEN: " << result.violations.size() - max_printed << " more\n";
  }
  if (result.late_refusals > 0) {
    std::cout << "BROKEN: refused after more than " << restart_result::max_refusal_time.count()
              << " ms\n";
  }
  bool passes = result.violations.empty() && result.late_refusals == 0;
  if (result.cut == 0) {
    std::cout << "BROKEN: no stream was cut\n";
    passes = false;
  }
  if (options->must_go_on && !result.enough_went_on()) {
    std::cout << "BROKEN: too few went on\n";
    passes = false;
  }
  return passes ? EXIT_SUCCESS : EXIT_FAILURE;
}
