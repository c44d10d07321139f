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

// Reads keys one by one and names the faulty one.
class reader {
 public:
  reader(std::istream& in, std::string name) : name_(std::move(name))
  {
    try {
      values_ = read_ini(in, name_);
    } catch (const ini_error& e) {
      throw settings_error(e.what());
    }
  }

  // Throws settings_error if the file has a key that nothing asked for.
  void reject_unknown() const
  {
    for (const auto& [where, value] : values_) {
      if (!asked_.contains(where)) {
        throw settings_error(
            ini_fault(name_, where, value, "unknown key; docs/REFERENCE.md lists them"));
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

  // A number from 0 on.
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

  // A time above 0, given as a number of `unit`.
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
    asked_.insert(where);
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
    throw settings_error(ini_fault(name_, {.section = section, .key = key}, value,
                                   std::string("allowed: ") + allowed));
  }

  std::string name_;
  ini_values values_;
  mutable std::set<ini_key> asked_;
};

} // namespace

settings parse_settings(std::istream& in, const std::string& name)
{
  using namespace std::chrono_literals;
  const reader from(in, name);
  settings out;
  out.id = daemon_id(from.text("daemon", "id"));
  out.zone = availability_zone(from.text("daemon", "availability_zone"));
  out.log_level = from.log_level("daemon", "log_level");
  out.callers = from.address("listen", "callers");
  out.addresses = from.address("listen", "addresses");
  out.readiness = from.address("listen", "readiness");
  out.peers = from.address("listen", "peers");
  out.metrics = from.optional_address("listen", "metrics");
  out.seeds = from.addresses("peers", "seeds");
  out.store = from.address("store", "address");
  out.cloud = from.optional_address("cloud", "address");
  out.endpoint_notice = from.time("drain", "endpoint_notice_ms", 1ms, 2s);
  out.drain_grace = from.time("drain", "grace_s", 1s, 8s);
  out.quota_slack = from.number("quota", "slack", 0);
  out.retry_ratio = from.number("retries", "ratio", 0.1);
  out.retry_slack = from.number("retries", "slack", 0);
  out.retry_window = from.time("retries", "window_s", 1s, 10s);
  out.trial_part = from.number("rollouts", "trial_part", 0);
  out.trial_slack = from.number("rollouts", "trial_slack", 0);
  out.lease_duration = from.time("duties", "lease_ms", 1ms, 3s);
  out.usage_window = from.time("duties", "usage_window_s", 1s, 5s);
  out.usage_deadline = from.time("duties", "usage_deadline_s", 1s, 10s);
  from.reject_unknown();
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
