// Kills all gateway daemons together, beside entries with odd names in the list of endpoints or
// after requests that end endpoints, and prints how soon they serve again. Exits with status 1 if
// they don't.
//
//   gateway_recovery --seed=2 --names='&x,k%7E'
//   gateway_recovery --crashes=silent --daemon=/path/of/another/wisteriaflow-gatewayd

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "gateway_system/recovery_run.h"

ABSL_FLAG(std::vector<std::string>, names, {}, "names of the odd entries, separated by commas");
ABSL_FLAG(int, copies, 1, "entries of each name, which end in their numbers");
ABSL_FLAG(std::string, crashes, "none",
          "what ends endpoints before: none, request, part, silent, new_silent");
ABSL_FLAG(int, kills, 1, "how often all daemons are killed");
ABSL_FLAG(int, daemons, 6, "number of daemons");
ABSL_FLAG(std::string, daemon, "", "the daemons' program; empty: the one of this build");
ABSL_FLAG(std::string, logs, "", "folder for the daemons' output");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the callers and of the drawn times");

namespace wisteriaflow::gateway_system_tests {
namespace {

void print(const char* when, const call_counts& counts)
{
  std::cout << when << ": " << counts.answered << " of " << counts.sent << " calls answered\n";
  for (const auto& [answer, n] : counts.by_answer) {
    std::cout << "  " << answer << ": " << n << "\n";
  }
}

} // namespace
} // namespace wisteriaflow::gateway_system_tests

int main(int argc, char** argv)
{
  using namespace wisteriaflow::gateway_system_tests;
  absl::ParseCommandLine(argc, argv);
  const std::map<std::string, endpoint_crashes> crashes = {
      {"none", endpoint_crashes::none},
      {"request", endpoint_crashes::by_one_request},
      {"part", endpoint_crashes::by_one_part},
      {"silent", endpoint_crashes::while_all_are_silent},
      {"new_silent", endpoint_crashes::while_new_ones_are_silent}};
  const auto chosen = crashes.find(absl::GetFlag(FLAGS_crashes));
  if (chosen == crashes.end()) {
    std::cerr << "unknown value of --crashes\n";
    return EXIT_FAILURE;
  }
  recovery_options options{.daemons = absl::GetFlag(FLAGS_daemons),
                           .crashes = chosen->second,
                           .kills = absl::GetFlag(FLAGS_kills),
                           .program = absl::GetFlag(FLAGS_daemon),
                           .log_folder = absl::GetFlag(FLAGS_logs),
                           .seed = absl::GetFlag(FLAGS_seed)};
  const auto copies = absl::GetFlag(FLAGS_copies);
  for (const auto& name : absl::GetFlag(FLAGS_names)) {
    for (int i = 0; i < copies; ++i) {
      options.odd_names.push_back(copies == 1 ? name : name + std::to_string(i));
    }
  }
  boost::asio::io_context context;
  recovery_run run(context, options);
  const auto result = run.run();
  std::cout << (result.is_ready ? "ready after " : "not ready after ") << result.ready_after.count()
            << " ms, " << result.list_calls << " list calls\n";
  for (const auto& end : result.unexpected_ends) {
    std::cout << "BROKEN: " << end << "\n";
  }
  print("before", result.before);
  print("after", result.after);
  const bool is_sound = result.is_ready && result.after.is_mostly_answered();
  return is_sound && result.unexpected_ends.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
