// Runs the subcommands of wisteriaflowctl.

#ifndef WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_COMMANDS_H_
#define WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tools/wisteriaflowctl_output.h"
#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/message.h"
#include "wisteriaflow/platform/operator_commands.h"
#include "wisteriaflow/platform/operator_queries.h"

namespace wisteriaflow::tools {

// Thrown for an invalid command line.
class usage_error : public error {
 public:
  using error::error;
};

// Values of the command line flags.
struct ctl_settings {
  http::socket_address platform;
  http::socket_address daemon;
  std::string file; // "-": standard input
  output_format format = output_format::table;
  platform::change_author author;
  std::optional<std::uint64_t> expected_revision;
  platform::explain_query explain;
  mono_time deadline;
};

// Runs the subcommand named by the first of `arguments` with the remaining ones, and prints the
// result. Throws usage_error, and the exceptions of the subcommand.
void run_command(const ctl_settings& settings, const std::vector<std::string>& arguments);

// Returns the help text with the subcommands, object kinds and exit codes.
[[nodiscard]] std::string_view command_summary();

} // namespace wisteriaflow::tools

#endif // WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_COMMANDS_H_
