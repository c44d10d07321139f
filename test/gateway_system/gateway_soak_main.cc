// Runs a fleet of gateway daemons under random faults and compares the answers that callers
// received with the requests that endpoints ran.
//
//   gateway_soak --minutes=2 --seed=7
//
// Exits with status 1 if a guarantee was violated. Clock steps are not among the faults, because
// they need privileges on the machine.

#include <cstdlib>
#include <exception>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>

#include "gateway_system/soak_run.h"

ABSL_FLAG(double, minutes, 1.0, "how long faults are made");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and of the callers");
ABSL_FLAG(std::string, logs, "", "folder for the daemons' output; empty: it is not kept");

ABSL_FLAG(std::string, daemon, "", "the daemons' program; empty: the one of this build");

namespace wisteriaflow::gateway_system_tests {
namespace {

bool print(const soak_result& result)
{
  for (const auto& [outcome, n] : result.outcomes) {
    std::cout << outcome << ": " << n << "\n";
  }
  for (const auto& what : result.violations) {
    std::cout << "BROKEN: " << what << "\n";
  }
  std::cout << "broken promises: " << result.violations.size() << std::endl;
  return result.violations.empty();
}

} // namespace
} // namespace wisteriaflow::gateway_system_tests

int main(int argc, char** argv)
{
  using namespace wisteriaflow::gateway_system_tests;
  absl::ParseCommandLine(argc, argv);
  const std::chrono::duration<double, std::ratio<60>> time(absl::GetFlag(FLAGS_minutes));
  try {
    boost::asio::io_context context;
    soak_run running(context, {.seed = absl::GetFlag(FLAGS_seed),
                               .log_folder = absl::GetFlag(FLAGS_logs),
                               .daemon_program = absl::GetFlag(FLAGS_daemon)});
    std::exception_ptr failure;
    boost::asio::co_spawn(context,
                          running.run(std::chrono::duration_cast<std::chrono::milliseconds>(time)),
                          [&](std::exception_ptr e) {
                            failure = e;
                            context.stop();
                          });
    context.run();
    if (failure) {
      std::rethrow_exception(failure);
    }
    return print(running.check_results()) ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& e) {
    std::cerr << "gateway_soak: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
