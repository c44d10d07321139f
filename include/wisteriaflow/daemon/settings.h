// The daemon's settings: an INI file that is read and validated completely at start.
//
//   const auto s = daemon::load_settings("/etc/wisteriaflow.ini");
//   s.callers_listen;  // "127.0.0.1:8080"
//
// docs/REFERENCE.md lists every key with its default and range.

#ifndef WISTERIAFLOW_DAEMON_SETTINGS_H_
#define WISTERIAFLOW_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::daemon {

// The settings file cannot be used. The message names the file, section, key and value, and what
// is allowed.
class settings_error : public error {
 public:
  using error::error;
};

// The values of all keys, by section. Addresses are "IP:port"; lists are comma-separated.
struct settings {
  // [daemon]
  std::string daemon_id;
  std::string instance_id;
  std::string availability_zone;
  std::string region;
  std::int64_t seed = 0;

  // [callers]
  std::string callers_listen;
  std::int64_t header_limit_bytes = 0;
  std::int64_t body_limit_bytes = 0;
  std::int64_t connection_limit = 0;
  std::chrono::milliseconds read_timeout{};
  std::chrono::milliseconds idle_timeout{};
  std::chrono::milliseconds write_timeout{};
  std::chrono::milliseconds address_validity{};

  // [peers]
  std::string peers_listen;
  std::string peer_seeds;
  std::chrono::milliseconds peer_call_timeout{};

  // [gossip]
  std::chrono::milliseconds gossip_period{};
  std::int64_t gossip_fanout = 0;
  std::chrono::milliseconds suspect_after{};
  std::chrono::milliseconds gone_after{};

  // [platform]
  std::string object_api;
  std::string instance_list;
  std::string cloud_api;
  std::chrono::milliseconds platform_call_timeout{};
  std::chrono::milliseconds instance_list_period{};
  std::chrono::milliseconds notice_period{};
  std::chrono::milliseconds watch_period{};
  std::chrono::milliseconds relist_period{};

  // [requests]
  std::chrono::milliseconds default_timeout{};
  std::chrono::milliseconds max_timeout{};
  std::chrono::milliseconds answer_retention{};
  std::int64_t answer_memory_bytes = 0;
  std::int64_t requests_in_flight_limit = 0;
  std::int64_t prompt_limit_bytes = 0;
  std::int64_t output_token_limit = 0;

  // [claims]
  std::int64_t claim_shards = 0;
  std::chrono::milliseconds claim_retention{};
  std::chrono::milliseconds claim_flush_interval{};

  // [routing]
  std::int64_t subset_size = 0;
  std::chrono::milliseconds load_period{};
  std::chrono::milliseconds first_token_target{};
  std::int64_t retry_budget_percent = 0;

  // [capacity]
  std::string capacity_enabled;
  std::chrono::milliseconds capacity_plan_period{};
  std::chrono::milliseconds capacity_lease_duration{};
  std::chrono::milliseconds capacity_lease_renew_period{};
  std::chrono::milliseconds capacity_order_timeout{};
  std::chrono::milliseconds capacity_clock_skew{};
  std::int64_t capacity_utilisation_percent = 0;
  std::int64_t capacity_service_requests_per_second = 0;
  std::int64_t capacity_weight_store_bytes_per_second = 0;
  std::chrono::milliseconds capacity_launch_time{};
  std::chrono::milliseconds capacity_launch_timeout{};
  std::chrono::milliseconds capacity_launch_backoff{};
  std::chrono::milliseconds capacity_launch_backoff_limit{};
  std::chrono::milliseconds capacity_reclaim_backoff{};
  std::chrono::milliseconds capacity_payback_horizon{};
  std::chrono::milliseconds capacity_release_after{};

  // [drain]
  std::chrono::milliseconds drain_grace{};

  // [log]
  std::string log_level;

  friend bool operator==(const settings&, const settings&) = default;
};

// Reads and validates the file at `path`. Throws settings_error.
[[nodiscard]] settings load_settings(const std::string& path);

// Reads and validates settings from `in`; `name` is the file name in errors. Throws settings_error.
[[nodiscard]] settings parse_settings(std::istream& in, const std::string& name);

// Describes one key for the reference: section, key, default and allowed values.
struct setting_description {
  std::string section;
  std::string key;
  std::string default_value;
  std::string allowed;
};

// Describes all keys, section by section.
[[nodiscard]] std::vector<setting_description> describe_settings();

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_SETTINGS_H_
