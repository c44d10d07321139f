// wisteriaflowctl: the command line tool for operators. It reads and edits the declared
// configuration in the platform's object API, and queries daemons for the state of the fleet and
// for the reasons of routing decisions. Results go to standard output, errors to standard error.

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "tools/wisteriaflowctl_commands.h"
#include "wisteriaflow/daemon/version.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/platform/errors.h"

ABSL_FLAG(std::string, platform, "127.0.0.1:7000", "IP:PORT of the platform's object API");
ABSL_FLAG(std::string, daemon, "127.0.0.1:8080", "IP:PORT of a daemon, for explain and fleet");
ABSL_FLAG(std::string, file, "", "file of objects in JSON; - is standard input");
ABSL_FLAG(std::string, output, "table", "json or table");
ABSL_FLAG(std::string, as, "", "who makes the change (default: the environment's USER)");
ABSL_FLAG(std::string, cause, "", "why the change is made");
ABSL_FLAG(std::uint64_t, expect_revision, 0,
          "change the object only at this revision, whatever its labels; 0: at any");
ABSL_FLAG(std::string, workspace, "", "explain: the request's workspace");
ABSL_FLAG(std::string, labels, "", "explain: the request's labels, K=V,...");
ABSL_FLAG(std::string, model, "", "explain: the request's model");
ABSL_FLAG(std::int64_t, timeout_ms, 10'000, "milliseconds for the whole command");

namespace wisteriaflow::tools {
namespace {

// The exit codes are documented in command_summary().
enum exit_code : int {
  exit_success = 0,
  exit_usage = 1,
  exit_invalid_input = 2,
  exit_not_found = 3,
  exit_conflict = 4,
  exit_platform_unavailable = 5,
  exit_daemon_unavailable = 6,
};

std::string default_author()
{
  auto author = absl::GetFlag(FLAGS_as);
  const char* user = std::getenv("USER");
  if (!author.empty()) {
    return author;
  }
  return user == nullptr ? "unknown" : user;
}

output_format parse_format(const std::string& text)
{
  if (text == "json") {
    return output_format::json;
  }
  if (text == "table") {
    return output_format::table;
  }
  throw usage_error("--output is " + text + "; allowed: json, table");
}

http::socket_address parse_address(const std::string& flag, const std::string& text)
{
  try {
    return http::parse_socket_address(text);
  } catch (const http::http_error& e) {
    throw usage_error("--" + flag + ": " + e.what());
  }
}

ctl_settings read_settings()
{
  const auto revision = absl::GetFlag(FLAGS_expect_revision);
  const std::chrono::milliseconds timeout(absl::GetFlag(FLAGS_timeout_ms));
  return {.platform = parse_address("platform", absl::GetFlag(FLAGS_platform)),
          .daemon = parse_address("daemon", absl::GetFlag(FLAGS_daemon)),
          .file = absl::GetFlag(FLAGS_file),
          .format = parse_format(absl::GetFlag(FLAGS_output)),
          .author = {.name = default_author(), .cause = absl::GetFlag(FLAGS_cause)},
          .expected_revision = revision == 0 ? std::nullopt : std::optional(revision),
          .explain = {.workspace = absl::GetFlag(FLAGS_workspace),
                      .labels = absl::GetFlag(FLAGS_labels),
                      .model = absl::GetFlag(FLAGS_model)},
          .deadline = std::chrono::steady_clock::now() + timeout};
}

int fail(exit_code code, const std::exception& e)
{
  std::cerr << "wisteriaflowctl: " << e.what() << '\n';
  return code;
}

int run(const std::vector<std::string>& arguments)
{
  try {
    run_command(read_settings(), arguments);
    return exit_success;
  } catch (const usage_error& e) {
    return fail(exit_usage, e);
  } catch (const platform::invalid_input_error& e) {
    return fail(exit_invalid_input, e);
  } catch (const platform::rejected_error& e) {
    return fail(exit_invalid_input, e);
  } catch (const platform::not_found_error& e) {
    return fail(exit_not_found, e);
  } catch (const platform::conflict_error& e) {
    return fail(exit_conflict, e);
  } catch (const platform::daemon_unavailable& e) {
    return fail(exit_daemon_unavailable, e);
  } catch (const std::exception& e) {
    return fail(exit_platform_unavailable, e);
  }
}

} // namespace
} // namespace wisteriaflow::tools

int main(int argc, char** argv)
{
  using namespace wisteriaflow;
  absl::SetProgramUsageMessage("wisteriaflowctl [FLAGS] SUBCOMMAND [ARGUMENTS]\n" +
                               std::string(tools::command_summary()));
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string(daemon::version()) + "\n"; };
  absl::SetFlagsUsageConfig(usage);
  const auto positional = absl::ParseCommandLine(argc, argv);
  return tools::run({positional.begin() + 1, positional.end()});
}
