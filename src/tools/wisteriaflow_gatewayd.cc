// wisteriaflow-gatewayd: the gateway daemon, which forwards opaque HTTP calls to the endpoints of
// the users' platform.
//
//   wisteriaflow-gatewayd --config=/etc/wisteriaflow-gateway.ini
//   wisteriaflow-gatewayd --config=/etc/wisteriaflow-gateway.ini --validate
//
// Writes its log as JSON lines to standard output. SIGTERM and SIGINT drain the daemon and end it.
// Exit codes: 0 drained, 1 usage error, 2 invalid settings, 3 cannot start.

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "wisteriaflow/daemon/log_writer.h"
#include "wisteriaflow/relay/gateway_daemon.h"
#include "wisteriaflow/relay/settings.h"

ABSL_FLAG(std::string, config, "", "settings file (INI)");
ABSL_FLAG(bool, validate, false, "check the settings file and exit");

namespace {

constexpr int exit_usage = 1;
constexpr int exit_invalid_settings = 2;
constexpr int exit_start_failure = 3;

int run(const wisteriaflow::relay::settings& s)
{
  std::signal(SIGPIPE, SIG_IGN);
  wisteriaflow::daemon::configure_logging(s.log_level);
  wisteriaflow::daemon::log_writer log;
  wisteriaflow::relay::gateway_daemon d(
      s,
      {.write = [&log](wisteriaflow::daemon::log_line line) { return log.write(std::move(line)); },
       .queued = [&log] { return log.queued(); }});
  d.run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage("wisteriaflow-gatewayd --config=FILE [--validate]");
  absl::ParseCommandLine(argc, argv);
  const auto path = absl::GetFlag(FLAGS_config);
  if (path.empty()) {
    std::cerr << "wisteriaflow-gatewayd: --config=FILE is required\n";
    return exit_usage;
  }
  try {
    const auto s = wisteriaflow::relay::load_settings(path);
    if (absl::GetFlag(FLAGS_validate)) {
      std::cout << path << ": valid\n";
      return EXIT_SUCCESS;
    }
    return run(s);
  } catch (const wisteriaflow::relay::settings_error& e) {
    std::cerr << "wisteriaflow-gatewayd: " << e.what() << "\n";
    return exit_invalid_settings;
  } catch (const std::exception& e) {
    std::cerr << "wisteriaflow-gatewayd: cannot start: " << e.what() << "\n";
    return exit_start_failure;
  }
}
