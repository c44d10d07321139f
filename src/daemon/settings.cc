#include "wisteriaflow/daemon/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>
#include <variant>

#include "wisteriaflow/base/ini_file.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::daemon {
namespace {

// The rules for values of keys. Each names the member of `settings` that stores the value.
struct name_rule {
  std::string settings::*member;
  bool required;
};

struct address_rule {
  std::string settings::*member;
  bool required;
};

struct address_list_rule {
  std::string settings::*member;
};

struct choice_rule {
  std::string settings::*member;
  std::vector<std::string> choices;
};

struct integer_rule {
  std::int64_t settings::*member;
  std::int64_t min;
  std::int64_t max;
};

struct period_rule {
  std::chrono::milliseconds settings::*member;
  std::int64_t min;
  std::int64_t max;
};

using value_rule = std::variant<name_rule, address_rule, address_list_rule, choice_rule,
                                integer_rule, period_rule>;

struct setting_definition {
  std::string section;
  std::string key;
  std::string default_value;
  value_rule allowed;
};

constexpr std::int64_t second = 1'000;
constexpr std::int64_t minute = 60 * second;
constexpr std::int64_t hour = 60 * minute;
constexpr std::int64_t kilobyte = 1'024;
constexpr std::int64_t megabyte = 1'024 * kilobyte;

const std::vector<setting_definition>& definitions()
{
  using s = settings;
  static const std::vector<setting_definition> all = {
      {"daemon", "id", "", name_rule{&s::daemon_id, true}},
      {"daemon", "instance_id", "", name_rule{&s::instance_id, false}},
      {"daemon", "availability_zone", "", name_rule{&s::availability_zone, true}},
      {"daemon", "region", "", name_rule{&s::region, false}},
      {"daemon", "seed", "0", integer_rule{&s::seed, 0, INT64_MAX}},
      {"callers", "listen", "127.0.0.1:0", address_rule{&s::callers_listen, true}},
      {"callers", "header_limit_bytes", "16384",
       integer_rule{&s::header_limit_bytes, kilobyte, megabyte}},
      {"callers", "body_limit_bytes", "4194304",
       integer_rule{&s::body_limit_bytes, kilobyte, 64 * megabyte}},
      {"callers", "connection_limit", "4096", integer_rule{&s::connection_limit, 1, 65'536}},
      {"callers", "read_timeout_ms", "30000", period_rule{&s::read_timeout, 100, hour}},
      {"callers", "idle_timeout_ms", "60000", period_rule{&s::idle_timeout, 100, hour}},
      {"callers", "write_timeout_ms", "10000", period_rule{&s::write_timeout, 100, hour}},
      {"callers", "address_validity_ms", "30000", period_rule{&s::address_validity, second, hour}},
      {"peers", "listen", "127.0.0.1:0", address_rule{&s::peers_listen, true}},
      {"peers", "seeds", "", address_list_rule{&s::peer_seeds}},
      {"peers", "call_timeout_ms", "500", period_rule{&s::peer_call_timeout, 50, minute}},
      {"gossip", "period_ms", "1000", period_rule{&s::gossip_period, 50, minute}},
      {"gossip", "fanout", "2", integer_rule{&s::gossip_fanout, 1, 16}},
      {"gossip", "suspect_after_ms", "5000", period_rule{&s::suspect_after, 200, hour}},
      {"gossip", "gone_after_ms", "15000", period_rule{&s::gone_after, 400, hour}},
      {"platform", "object_api", "", address_rule{&s::object_api, true}},
      {"platform", "instance_list", "", address_rule{&s::instance_list, true}},
      {"platform", "cloud_api", "", address_rule{&s::cloud_api, false}},
      {"platform", "call_timeout_ms", "1000", period_rule{&s::platform_call_timeout, 50, minute}},
      {"platform", "instance_list_period_ms", "2000",
       period_rule{&s::instance_list_period, 50, 10 * minute}},
      {"platform", "notice_period_ms", "500", period_rule{&s::notice_period, 50, 10 * minute}},
      {"platform", "watch_ms", "30000", period_rule{&s::watch_period, second, hour}},
      {"platform", "relist_ms", "300000", period_rule{&s::relist_period, second, 24 * hour}},
      {"requests", "default_timeout_ms", "60000", period_rule{&s::default_timeout, 100, hour}},
      {"requests", "max_timeout_ms", "600000", period_rule{&s::max_timeout, 100, 24 * hour}},
      {"requests", "answer_retention_ms", "600000",
       period_rule{&s::answer_retention, second, 24 * hour}},
      {"requests", "answer_memory_bytes", "4194304",
       integer_rule{&s::answer_memory_bytes, 64 * kilobyte, 1'024 * megabyte}},
      {"requests", "in_flight_limit", "1024",
       integer_rule{&s::requests_in_flight_limit, 1, 65'536}},
      {"requests", "prompt_limit_bytes", "1048576",
       integer_rule{&s::prompt_limit_bytes, 1, 64 * megabyte}},
      {"requests", "output_token_limit", "16384",
       integer_rule{&s::output_token_limit, 1, 1'000'000}},
      {"claims", "shards", "32", integer_rule{&s::claim_shards, 1, 999}},
      {"claims", "retention_ms", "600000",
       period_rule{&s::claim_retention, 10 * second, 24 * hour}},
      {"claims", "flush_interval_ms", "200", period_rule{&s::claim_flush_interval, 0, minute}},
      {"routing", "subset_size", "64", integer_rule{&s::subset_size, 1, 4'096}},
      {"routing", "load_period_ms", "1000", period_rule{&s::load_period, 50, minute}},
      {"routing", "first_token_target_ms", "540",
       period_rule{&s::first_token_target, 1, 10 * minute}},
      {"routing", "retry_budget_percent", "10", integer_rule{&s::retry_budget_percent, 0, 100}},
      {"capacity", "enabled", "false", choice_rule{&s::capacity_enabled, {"true", "false"}}},
      {"capacity", "plan_period_ms", "5000", period_rule{&s::capacity_plan_period, 100, hour}},
      {"capacity", "lease_duration_ms", "10000",
       period_rule{&s::capacity_lease_duration, second, hour}},
      {"capacity", "lease_renew_period_ms", "3000",
       period_rule{&s::capacity_lease_renew_period, 100, hour}},
      {"capacity", "order_timeout_ms", "5000",
       period_rule{&s::capacity_order_timeout, 100, 10 * minute}},
      {"capacity", "clock_skew_ms", "1000", period_rule{&s::capacity_clock_skew, 0, minute}},
      {"capacity", "utilisation_percent", "80",
       integer_rule{&s::capacity_utilisation_percent, 1, 100}},
      {"capacity", "service_requests_per_second", "50",
       integer_rule{&s::capacity_service_requests_per_second, 1, 1'000'000}},
      {"capacity", "weight_store_bytes_per_second", "1000000000",
       integer_rule{&s::capacity_weight_store_bytes_per_second, kilobyte, INT64_MAX}},
      {"capacity", "launch_time_ms", "60000", period_rule{&s::capacity_launch_time, 0, hour}},
      {"capacity", "launch_timeout_ms", "900000",
       period_rule{&s::capacity_launch_timeout, second, 24 * hour}},
      {"capacity", "launch_backoff_ms", "5000", period_rule{&s::capacity_launch_backoff, 0, hour}},
      {"capacity", "launch_backoff_limit_ms", "300000",
       period_rule{&s::capacity_launch_backoff_limit, 0, 24 * hour}},
      {"capacity", "reclaim_backoff_ms", "120000",
       period_rule{&s::capacity_reclaim_backoff, 0, 24 * hour}},
      {"capacity", "payback_horizon_ms", "600000",
       period_rule{&s::capacity_payback_horizon, minute, 240 * hour}},
      {"capacity", "release_after_ms", "600000",
       period_rule{&s::capacity_release_after, second, 24 * hour}},
      {"drain", "grace_ms", "20000", period_rule{&s::drain_grace, 0, hour}},
      {"log", "level", "info",
       choice_rule{&s::log_level, {"trace", "debug", "info", "warn", "error"}}},
  };
  return all;
}

std::string describe_range(std::int64_t min, std::int64_t max)
{
  return "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
}

// Describes what a rule allows, for error messages and the reference.
struct describe_rule {
  std::string operator()(const name_rule& r) const
  {
    return r.required ? "a name of letters, digits, '-', '_' and '.', required"
                      : "a name of letters, digits, '-', '_' and '.', or nothing";
  }
  std::string operator()(const address_rule& r) const
  {
    return r.required ? "an IP number and port, required" : "an IP number and port, or nothing";
  }
  std::string operator()(const address_list_rule& /*r*/) const
  {
    return "IP numbers and ports, comma separated";
  }
  std::string operator()(const choice_rule& r) const
  {
    std::string out = "one of";
    for (const auto& choice : r.choices) {
      out += " " + choice;
    }
    return out;
  }
  std::string operator()(const integer_rule& r) const { return describe_range(r.min, r.max); }
  std::string operator()(const period_rule& r) const
  {
    return describe_range(r.min, r.max) + " (milliseconds)";
  }
};

bool is_name(const std::string& text)
{
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return std::all_of(text.begin(), text.end(), allowed);
}

bool is_address(const std::string& text)
{
  try {
    static_cast<void>(http::parse_socket_address(text));
    return true;
  } catch (const http::http_error&) {
    return false;
  }
}

bool is_address_list(const std::string& text)
{
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    if (!is_address(part)) {
      return false;
    }
  }
  return true;
}

// Stores a value in `out`; returns whether the rule allows it.
struct apply_rule {
  settings& out;
  const std::string& value;

  bool operator()(const name_rule& r) const
  {
    out.*r.member = value;
    return is_name(value) && !(r.required && value.empty());
  }
  bool operator()(const address_rule& r) const
  {
    out.*r.member = value;
    return value.empty() ? !r.required : is_address(value);
  }
  bool operator()(const address_list_rule& r) const
  {
    out.*r.member = value;
    return is_address_list(value);
  }
  bool operator()(const choice_rule& r) const
  {
    out.*r.member = value;
    return std::find(r.choices.begin(), r.choices.end(), value) != r.choices.end();
  }
  bool operator()(const integer_rule& r) const
  {
    const auto n = number(r.min, r.max);
    out.*r.member = n.value_or(0);
    return n.has_value();
  }
  bool operator()(const period_rule& r) const
  {
    const auto n = number(r.min, r.max);
    out.*r.member = std::chrono::milliseconds(n.value_or(0));
    return n.has_value();
  }

 private:
  [[nodiscard]] std::optional<std::int64_t> number(std::int64_t min, std::int64_t max) const
  {
    std::int64_t n = 0;
    const char* last = value.data() + value.size();
    const auto [end, ec] = std::from_chars(value.data(), last, n);
    if (ec != std::errc{} || end != last || n < min || n > max) {
      return std::nullopt;
    }
    return n;
  }
};

ini_values read_values(std::istream& in, const std::string& name)
{
  try {
    return read_ini(in, name);
  } catch (const ini_error& e) {
    throw settings_error(e.what());
  }
}

void reject_unknown(const ini_values& values, const std::string& name)
{
  for (const auto& [where, value] : values) {
    const auto is_here = [&where = where](const setting_definition& d) {
      return d.section == where.section && d.key == where.key;
    };
    if (std::none_of(definitions().begin(), definitions().end(), is_here)) {
      throw settings_error(
          ini_error_message(name, where, value, "unknown key; docs/REFERENCE.md lists them"));
    }
  }
}

// Checks constraints between keys.
void check_consistency(const settings& s, const std::string& name)
{
  if (s.gone_after <= s.suspect_after) {
    throw settings_error(name + ": section [gossip], key 'gone_after_ms' = '" +
                         std::to_string(s.gone_after.count()) +
                         "': allowed: more than suspect_after_ms");
  }
  if (s.capacity_lease_renew_period * 2 > s.capacity_lease_duration) {
    throw settings_error(name + ": section [capacity], key 'lease_renew_period_ms' = '" +
                         std::to_string(s.capacity_lease_renew_period.count()) +
                         "': allowed: at most half of lease_duration_ms");
  }
  if (s.capacity_enabled == "true" && s.cloud_api.empty()) {
    throw settings_error(name + ": section [capacity], key 'enabled' = 'true': allowed: false, or "
                                "cloud_api set in section [platform]");
  }
  if (s.max_timeout < s.default_timeout) {
    throw settings_error(name + ": section [requests], key 'max_timeout_ms' = '" +
                         std::to_string(s.max_timeout.count()) +
                         "': allowed: at least default_timeout_ms");
  }
}

} // namespace

settings parse_settings(std::istream& in, const std::string& name)
{
  const auto values = read_values(in, name);
  reject_unknown(values, name);
  settings out;
  for (const auto& d : definitions()) {
    const auto it = values.find({d.section, d.key});
    const auto& value = it == values.end() ? d.default_value : it->second;
    if (!std::visit(apply_rule{out, value}, d.allowed)) {
      const auto allowed = "allowed: " + std::visit(describe_rule{}, d.allowed);
      throw settings_error(ini_error_message(name, {d.section, d.key}, value, allowed));
    }
  }
  check_consistency(out, name);
  return out;
}

settings load_settings(const std::string& path)
{
  std::ifstream in(path);
  if (!in) {
    throw settings_error(path + ": cannot be read");
  }
  return parse_settings(in, path);
}

std::vector<setting_description> describe_settings()
{
  std::vector<setting_description> out;
  for (const auto& d : definitions()) {
    out.push_back({.section = d.section,
                   .key = d.key,
                   .default_value = d.default_value,
                   .allowed = std::visit(describe_rule{}, d.allowed)});
  }
  return out;
}

} // namespace wisteriaflow::daemon
