// Sends SIGTERM to gateway daemons while callers use them until their processes are gone, and
// prints what becomes of the calls. Exits with status 1 if one was cut.
//
//   gateway_drain --leaving=3 --silence_ms=1200 --routes=unsafe,stream --seed=2

#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "gateway_system/drain_run.h"

ABSL_FLAG(int, daemons, 6, "gateway daemons");
ABSL_FLAG(int, leaving, 1, "daemons that receive SIGTERM");
ABSL_FLAG(int, callers, 500, "callers, each with one open connection");
ABSL_FLAG(std::vector<std::string>, routes, {"unsafe"}, "routes of the calls");
ABSL_FLAG(int, silence_ms, 0, "all endpoints are silent for this long, every two seconds");
ABSL_FLAG(int, configuration_ms, 0, "time between new configurations; 0: none");
ABSL_FLAG(std::string, logs, "", "folder for the daemons' output");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the callers");

int main(int argc, char** argv)
{
  using namespace wisteriaflow::gateway_system_tests;
  using std::chrono::milliseconds;
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context context;
  drain_run run(context,
                {.daemons = absl::GetFlag(FLAGS_daemons),
                 .leaving = absl::GetFlag(FLAGS_leaving),
                 .callers = absl::GetFlag(FLAGS_callers),
                 .routes = absl::GetFlag(FLAGS_routes),
                 .silence = milliseconds(absl::GetFlag(FLAGS_silence_ms)),
                 .configuration_period = milliseconds(absl::GetFlag(FLAGS_configuration_ms)),
                 .log_folder = absl::GetFlag(FLAGS_logs),
                 .seed = absl::GetFlag(FLAGS_seed)});
  const auto result = run.run();
  for (const auto& [outcome, n] : result.calls) {
    std::cout << to_string(outcome) << " " << n << "\n";
  }
  std::cout << "served elsewhere " << result.served_elsewhere << "\n";
  for (const auto exit : result.exits) {
    std::cout << "a process ended after " << exit.count() << " ms\n";
  }
  for (const auto& what : result.cut) {
    std::cout << "CUT: " << what << "\n";
  }
  for (const auto& what : result.violations) {
    std::cout << "BROKEN: " << what << "\n";
  }
  return result.cut.empty() && result.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
