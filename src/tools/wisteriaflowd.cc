// wisteriaflowd: the daemon that runs on every instance that receives requests from callers.
//
//   wisteriaflowd --config=/etc/wisteriaflow.ini
//   wisteriaflowd --config=/etc/wisteriaflow.ini --validate
//
// Prints "callers IP:port peers IP:port" to standard output once it listens, and writes its log
// there as JSON lines, too. SIGTERM and SIGINT drain the daemon and end it. Exit codes: 0 drained,
// 1 usage error, 2 invalid settings, 3 cannot start.

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/daemon/daemon.h"
#include "wisteriaflow/daemon/log.h"
#include "wisteriaflow/daemon/settings.h"
#include "wisteriaflow/daemon/version.h"

ABSL_FLAG(std::string, config, "", "settings file (INI)");
ABSL_FLAG(bool, validate, false, "check the settings file and exit");
ABSL_FLAG(bool, describe_settings, false, "print every settings key with its default and exit");

namespace {

constexpr int exit_usage = 1;
constexpr int exit_invalid_settings = 2;
constexpr int exit_start_failure = 3;

void describe()
{
  for (const auto& d : wisteriaflow::daemon::describe_settings()) {
    std::cout << "[" << d.section << "] " << d.key << " = " << d.default_value << "  # "
              << d.allowed << "\n";
  }
}

// Waits for a signal on a separate thread; all other threads block these signals.
void drain_on_signal(const sigset_t& signals, wisteriaflow::daemon::daemon& d)
{
  std::thread([signals, &d] {
    int caught = 0;
    sigwait(&signals, &caught);
    d.request_drain();
  }).detach();
}

int run(const wisteriaflow::daemon::settings& s)
{
  // Blocks the signals before any thread starts, so that all threads inherit the mask.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  wisteriaflow::daemon::configure_logging(s.log_level);
  wisteriaflow::daemon::daemon d(s);
  std::cout << "callers " << to_string(d.caller_address()) << " peers "
            << to_string(d.peer_address()) << std::endl;
  drain_on_signal(signals, d);
  d.run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--version") {
      std::cout << "wisteriaflowd " << wisteriaflow::daemon::version() << "\n";
      return EXIT_SUCCESS;
    }
  }
  absl::SetProgramUsageMessage("wisteriaflowd --config=FILE [--validate]");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_describe_settings)) {
    describe();
    return EXIT_SUCCESS;
  }
  const auto path = absl::GetFlag(FLAGS_config);
  if (path.empty()) {
    std::cerr << "wisteriaflowd: --config=FILE is required\n";
    return exit_usage;
  }
  try {
    const auto s = wisteriaflow::daemon::load_settings(path);
    if (absl::GetFlag(FLAGS_validate)) {
      std::cout << path << ": valid\n";
      return EXIT_SUCCESS;
    }
    return run(s);
  } catch (const wisteriaflow::daemon::settings_error& e) {
    std::cerr << "wisteriaflowd: " << e.what() << "\n";
    return exit_invalid_settings;
  } catch (const wisteriaflow::error& e) {
    std::cerr << "wisteriaflowd: " << e.what() << "\n";
    return exit_start_failure;
  } catch (const std::exception& e) {
    std::cerr << "wisteriaflowd: unexpected: " << e.what() << "\n";
    return exit_start_failure;
  }
}
