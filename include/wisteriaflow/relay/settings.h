// Settings of the gateway daemon: an INI file, checked whole before anything starts.
//
//   const auto s = relay::load_settings("/etc/wisteriaflow-gateway.ini");
//
// docs/REFERENCE.md lists every key with its unit and range.

#ifndef WISTERIAFLOW_RELAY_SETTINGS_H_
#define WISTERIAFLOW_RELAY_SETTINGS_H_

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::relay {

// A settings file that cannot be used. Names file, section, key, value and what is allowed.
class settings_error : public error {
 public:
  using error::error;
};

struct settings {
  // [daemon]
  daemon_id id;
  availability_zone zone;
  std::string log_level;

  // [listen]
  http::socket_address callers;
  http::socket_address addresses; // where callers ask which daemons to connect to
  http::socket_address readiness;
  http::socket_address peers;
  std::optional<http::socket_address> metrics; // the peers' address serves them, too

  // [peers]
  std::vector<http::socket_address> seeds;

  // [store] and [cloud]
  http::socket_address store;
  std::optional<http::socket_address> cloud;

  // [drain]
  std::chrono::milliseconds endpoint_notice{}; // after it a leaving endpoint gets no request
  std::chrono::milliseconds drain_grace{};     // from the order to end until the process is killed

  // [quota]
  double quota_slack = 0; // units beyond a workspace's bound, over the fleet

  // [retries]
  double retry_ratio = 0;
  double retry_slack = 0;
  std::chrono::milliseconds retry_window{};

  // [rollouts]
  // Part of a service's calls that a version on trial may get over the fleet; 0: no roll-outs here.
  double trial_part = 0;
  double trial_slack = 0; // calls beyond that part, over the fleet

  // [duties]
  std::chrono::milliseconds lease_duration{};
  std::chrono::milliseconds usage_window{};
  std::chrono::milliseconds usage_deadline{}; // after a window's end

  friend bool operator==(const settings&, const settings&) = default;
};

// Reads and checks the file at `path`. Throws settings_error.
[[nodiscard]] settings load_settings(const std::string& path);

// Reads and checks settings from `in`; `name` stands for the file in errors.
[[nodiscard]] settings parse_settings(std::istream& in, const std::string& name);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_RELAY_SETTINGS_H_
