#include "wisteriaflow/relay/settings.h"

#include <fstream>
#include <set>
#include <utility>

#include "wisteriaflow/base/ini_file.h"
#include "wisteriaflow/base/text.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;

// Reads and validates single keys. An error message names the offending key.
class settings_reader {
 public:
  settings_reader(std::istream& in, std::string name) : name_(std::move(name))
  {
    try {
      values_ = read_ini(in, name_);
    } catch (const ini_error& e) {
      throw settings_error(e.what());
    }
  }

  // Throws settings_error if the file has a key that was never read.
  void reject_unknown_keys() const
  {
    for (const auto& [where, value] : values_) {
      if (!requested_keys_.contains(where)) {
        throw settings_error(
            ini_error_message(name_, where, value, "unknown key; docs/REFERENCE.md lists them"));
      }
    }
  }

  [[nodiscard]] std::string text(const char* section, const char* key) const
  {
    const auto value = find(section, key);
    if (!value || value->empty()) {
      fail(section, key, value.value_or(""), "a name");
    }
    return *value;
  }

  [[nodiscard]] std::string log_level(const char* section, const char* key) const
  {
    auto value = find(section, key).value_or("info");
    if (value != "debug" && value != "info" && value != "warn" && value != "error") {
      fail(section, key, value, "debug, info, warn, error");
    }
    return value;
  }

  [[nodiscard]] http::socket_address address(const char* section, const char* key) const
  {
    const auto value = find(section, key).value_or("");
    return parse_address(section, key, value);
  }

  [[nodiscard]] std::optional<http::socket_address> optional_address(const char* section,
                                                                     const char* key) const
  {
    const auto value = find(section, key);
    if (!value || value->empty()) {
      return std::nullopt;
    }
    return parse_address(section, key, *value);
  }

  [[nodiscard]] std::vector<http::socket_address> addresses(const char* section,
                                                            const char* key) const
  {
    std::vector<http::socket_address> out;
    const auto value = find(section, key).value_or("");
    for (const auto each : split(value, ',')) {
      out.push_back(parse_address(section, key, std::string(each)));
    }
    return out;
  }

  // A number of at least 0; `fallback` if the key is missing or empty.
  [[nodiscard]] double number(const char* section, const char* key, double fallback) const
  {
    const auto value = find(section, key);
    if (!value || value->empty()) {
      return fallback;
    }
    const auto out = parse_number<double>(*value);
    if (!out || !(*out >= 0)) {
      fail(section, key, *value, "a number, 0 or more");
    }
    return *out;
  }

  // A duration greater than 0, written as a number of `unit`; `fallback` if the key is missing,
  // empty or 0.
  [[nodiscard]] milliseconds time(const char* section, const char* key, milliseconds unit,
                                  milliseconds fallback) const
  {
    const double n = number(section, key, 0);
    if (n <= 0) {
      if (const auto value = find(section, key); value && !value->empty()) {
        fail(section, key, *value, "a number above 0");
      }
      return fallback;
    }
    return milliseconds(static_cast<std::int64_t>(n * static_cast<double>(unit.count())));
  }

 private:
  [[nodiscard]] std::optional<std::string> find(const char* section, const char* key) const
  {
    const ini_key where{.section = section, .key = key};
    requested_keys_.insert(where);
    const auto it = values_.find(where);
    return it == values_.end() ? std::nullopt : std::optional(it->second);
  }

  [[nodiscard]] http::socket_address parse_address(const char* section, const char* key,
                                                   const std::string& value) const
  {
    try {
      return http::parse_socket_address(value);
    } catch (const http::http_error&) {
      fail(section, key, value, "IP:port");
    }
  }

  [[noreturn]] void fail(const char* section, const char* key, const std::string& value,
                         const char* allowed) const
  {
    throw settings_error(ini_error_message(name_, {.section = section, .key = key}, value,
                                           std::string("allowed: ") + allowed));
  }

  std::string name_;
  ini_values values_;
  mutable std::set<ini_key> requested_keys_;
};

} // namespace

settings parse_settings(std::istream& in, const std::string& name)
{
  using namespace std::chrono_literals;
  const settings_reader reader(in, name);
  settings out;
  out.id = daemon_id(reader.text("daemon", "id"));
  out.zone = availability_zone(reader.text("daemon", "availability_zone"));
  out.log_level = reader.log_level("daemon", "log_level");
  out.callers = reader.address("listen", "callers");
  out.addresses = reader.address("listen", "addresses");
  out.readiness = reader.address("listen", "readiness");
  out.peers = reader.address("listen", "peers");
  out.metrics = reader.optional_address("listen", "metrics");
  out.seeds = reader.addresses("peers", "seeds");
  out.store = reader.address("store", "address");
  out.cloud = reader.optional_address("cloud", "address");
  out.endpoint_notice = reader.time("drain", "endpoint_notice_ms", 1ms, 2s);
  out.drain_grace = reader.time("drain", "grace_s", 1s, 8s);
  out.quota_slack = reader.number("quota", "slack", 0);
  out.retry_ratio = reader.number("retries", "ratio", 0.1);
  out.retry_slack = reader.number("retries", "slack", 0);
  out.retry_window = reader.time("retries", "window_s", 1s, 10s);
  out.trial_part = reader.number("rollouts", "trial_part", 0);
  out.trial_slack = reader.number("rollouts", "trial_slack", 0);
  out.lease_duration = reader.time("duties", "lease_ms", 1ms, 3s);
  out.usage_window = reader.time("duties", "usage_window_s", 1s, 5s);
  out.usage_deadline = reader.time("duties", "usage_deadline_s", 1s, 10s);
  reader.reject_unknown_keys();
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

} // namespace wisteriaflow::relay
