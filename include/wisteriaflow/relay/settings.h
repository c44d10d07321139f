// Settings of the gateway daemon. They come from an INI file that is read and validated completely
// before the daemon starts anything.
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

// Thrown for an unusable settings file. The message gives the file, section, key, value and the
// allowed values.
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
  http::socket_address callers;   // serves the callers' requests
  http::socket_address addresses; // lists for callers the daemons that they can connect to
  http::socket_address readiness; // serves the readiness check
  http::socket_address peers;     // serves the other daemons, and the metrics
  std::optional<http::socket_address> metrics; // a further address that serves the metrics

  // [peers]
  std::vector<http::socket_address> seeds; // peer addresses to contact first

  // [store] and [cloud]
  http::socket_address store;
  std::optional<http::socket_address> cloud;

  // [drain]
  // How long a leaving endpoint may still get requests after it gave notice.
  std::chrono::milliseconds endpoint_notice{};
  // Time between the request to shut this daemon down and the kill of its process.
  std::chrono::milliseconds drain_grace{};

  // [quota]
  // Quota units that all daemons together may admit beyond a workspace's limit.
  double quota_slack = 0;

  // [retries]
  double retry_ratio = 0;                   // retries allowed per call of a service
  double retry_slack = 0;                   // retries beyond that ratio, over the fleet
  std::chrono::milliseconds retry_window{}; // over which calls and retries are counted

  // [rollouts]
  // Fraction of a service's calls in the fleet that a version on trial may get. 0 disables rollouts
  // in this daemon.
  double trial_part = 0;
  double trial_slack = 0; // calls beyond that fraction, over the fleet

  // [duties]
  std::chrono::milliseconds lease_duration{}; // of the leader's lease
  std::chrono::milliseconds usage_window{};   // period that one usage report covers
  std::chrono::milliseconds usage_deadline{}; // for reporting usage, after a window's end

  friend bool operator==(const settings&, const settings&) = default;
};

// Reads and validates the file at `path`. Throws settings_error.
[[nodiscard]] settings load_settings(const std::string& path);

// Reads and validates settings from `in`. Error messages call the file `name`. Throws
// settings_error.
[[nodiscard]] settings parse_settings(std::istream& in, const std::string& name);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_RELAY_SETTINGS_H_
