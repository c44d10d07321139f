// The version of the daemon and its tools.

#ifndef WISTERIAFLOW_DAEMON_VERSION_H_
#define WISTERIAFLOW_DAEMON_VERSION_H_

#include <string_view>

namespace wisteriaflow::daemon {

// The version in the form "1.2.3", as `--version` prints it.
[[nodiscard]] std::string_view version();

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_VERSION_H_
