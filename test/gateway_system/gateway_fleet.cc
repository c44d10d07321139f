#include "gateway_system/gateway_fleet.h"

#include <stdlib.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "fakes/free_addresses.h"
#include "fakes/run.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace json = boost::json;

constexpr std::chrono::seconds start_grace{2};
constexpr std::chrono::milliseconds ready_timeout{120'000};
constexpr std::chrono::milliseconds poll_period{20};

std::string make_folder()
{
  std::string name = "/tmp/wisteriaflow-gateway-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot make " + name);
  }
  return name;
}

json::array backends_of(const std::vector<std::string>& names)
{
  json::array out;
  for (const auto& each : names) {
    out.push_back(json::object{{"service", each}, {"weight", 1}});
  }
  return out;
}

json::object route(const std::string& name, const std::string& kind, bool resumable,
                   const route_timeouts& timeouts)
{
  const auto timeout = kind == "streaming" ? timeouts.stream : timeouts.plain;
  return {{"name", name},
          {"host", gateway_fleet::host},
          {"pathPrefix", "/" + name + "/"},
          {"kind", kind},
          {"timeoutMs", timeout.count()},
          {"targetLatencyMs", 300},
          {"targetGapMs", 300},
          {"service", "chat"},
          {"maxAttempts", 2},
          {"resumable", resumable}};
}

} // namespace

bool gateway_process::may_cut(mono_time sent_at, mono_time cut_at) const
{
  constexpr std::chrono::milliseconds early_time{3'000};
  constexpr std::chrono::milliseconds last_sixth_begins = gateway_fleet::drain_grace * 5 / 6;
  return sigterm_at && sent_at <= *sigterm_at + early_time &&
         cut_at >= *sigterm_at + last_sixth_begins;
}

gateway_fleet::gateway_fleet(boost::asio::io_context& context)
    : context_(context), folder_(make_folder()), proxies_host_(fakes::process_loopback_host(0)),
      store_(context)
{
  write_configuration();
}

gateway_fleet::~gateway_fleet()
{
  daemons_.clear();
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec); // if it fails, only some logs remain
}

std::string gateway_fleet::default_program()
{
  return WISTERIAFLOW_BINARY_DIR "/wisteriaflow-gatewayd";
}

std::string gateway_fleet::settings_of(const gateway_process& d,
                                       const daemon_options& options) const
{
  std::string seeds;
  for (const auto& [id, other] : daemons_) {
    if (id == d.id || other->lost_power_at) {
      continue;
    }
    seeds += (seeds.empty() ? "" : ",") + to_string(other->peers);
  }
  return "[daemon]\nid = " + d.daemon_id + "\navailability_zone = " + d.zone +
         "\nlog_level = " + options.log_level + "\n[listen]\ncallers = " + to_string(d.callers) +
         "\naddresses = " + to_string(d.addresses) + "\nreadiness = " + to_string(d.readiness) +
         "\npeers = " + to_string(d.peers) + (seeds.empty() ? "" : "\n[peers]\nseeds = " + seeds) +
         "\n[store]\naddress = " + to_string(d.store_proxy->address()) +
         "\n[drain]\ngrace_s = " + std::to_string(drain_grace.count()) +
         "\nendpoint_notice_ms = " + std::to_string(endpoint_notice.count()) +
         "\n[retries]\nratio = 0.2\nslack = 100\n";
}

gateway_process& gateway_fleet::start_daemon(const daemon_options& options)
{
  auto d = std::make_unique<gateway_process>();
  d->id = "d" + std::to_string(++last_daemon_);
  d->daemon_id = d->id;
  d->zone = "z" + std::to_string(last_daemon_ % zones_);
  const auto free =
      fakes::free_addresses(fakes::process_loopback_host(static_cast<unsigned>(last_daemon_)), 4);
  d->callers = free[0];
  d->readiness = free[1];
  d->peers = free[2];
  d->addresses = free[3];
  return add(std::move(d), options);
}

std::vector<const gateway_process*> gateway_fleet::lose_power()
{
  std::vector<const gateway_process*> out;
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [id, d] : daemons_) {
    if (d->has_ended) {
      continue;
    }
    d->has_ended = true;
    d->lost_power_at = now;
    d->running->signal(SIGKILL);
    if (!d->sigterm_at) {
      out.push_back(d.get());
    }
  }
  for (const auto& [id, d] : daemons_) {
    if (d->lost_power_at) {
      d->running->kill();
    }
  }
  return out;
}

gateway_process& gateway_fleet::restart_daemon(const gateway_process& ended,
                                               const daemon_options& options)
{
  auto d = std::make_unique<gateway_process>();
  d->id = ended.id + "+";
  d->daemon_id = ended.daemon_id;
  d->zone = ended.zone;
  d->callers = ended.callers;
  d->readiness = ended.readiness;
  d->peers = ended.peers;
  d->addresses = ended.addresses;
  return add(std::move(d), options);
}

gateway_process& gateway_fleet::add(std::unique_ptr<gateway_process> d,
                                    const daemon_options& options)
{
  d->store_proxy = std::make_unique<fault_proxy>(context_, proxies_host_, store_.address());
  run(*d, options);
  return *daemons_.emplace(d->id, std::move(d)).first->second;
}

void gateway_fleet::run(gateway_process& d, const daemon_options& options)
{
  add_unexpected_end(d, unexpected_ends_);
  d.disturbed_until = std::chrono::steady_clock::now() + start_grace;
  const auto file = folder_ + "/" + d.id + ".ini";
  std::ofstream(file) << settings_of(d, options);
  d.running = std::make_unique<system_tests::process>(
      std::vector<std::string>{program_, "--config=" + file},
      options.log.empty() ? folder_ + "/" + d.id + ".log" : options.log);
}

void gateway_fleet::add_unexpected_end(const gateway_process& d, std::vector<std::string>& to)
{
  if (const auto number = d.running ? d.running->unexpected_signal() : std::nullopt) {
    to.push_back(d.id + " ended by signal " + std::to_string(*number));
  }
}

std::vector<std::string> gateway_fleet::unexpected_ends()
{
  auto out = unexpected_ends_;
  for (const auto& [id, d] : daemons_) {
    add_unexpected_end(*d, out);
  }
  return out;
}

void gateway_fleet::restart(gateway_process& d, const daemon_options& options)
{
  d.sigterm_at.reset();
  d.exited_at.reset();
  d.has_ended = false;
  run(d, options);
}

void gateway_fleet::await_ready()
{
  http::client client(context_);
  const auto limit = std::chrono::steady_clock::now() + ready_timeout;
  for (const auto& [id, d] : daemons_) {
    int status = 0;
    while (status != http::status::ok) {
      if (limit < std::chrono::steady_clock::now()) {
        throw std::runtime_error(id + " does not become ready");
      }
      try {
        status = fakes::call(context_, client, d->readiness, {.target = "/ready"}).status;
      } catch (const http::http_error&) {
        context_.restart();
        context_.run_for(poll_period);
      }
    }
  }
}

proxied_endpoint& gateway_fleet::add_endpoint(const std::string& version)
{
  return add_endpoint("i-" + std::to_string(++last_endpoint_), version);
}

proxied_endpoint& gateway_fleet::replace_endpoint(const std::string& id, const std::string& version)
{
  remove(id);
  ++last_endpoint_;
  return add_endpoint(id, version);
}

proxied_endpoint& gateway_fleet::add_endpoint(const std::string& id, const std::string& version)
{
  proxied_endpoint made{.service = endpoint_service_};
  made.endpoint = std::make_unique<counting_endpoint>(context_, id, version, last_endpoint_);
  made.proxy = std::make_unique<fault_proxy>(context_, proxies_host_, made.endpoint->address());
  auto& kept = endpoints_.emplace(id, std::move(made)).first->second;
  write_endpoint(kept, "ready");
  return kept;
}

void gateway_fleet::write_endpoint(const proxied_endpoint& e, const std::string& state)
{
  store_.put("servers", e.endpoint->id(),
             {{"service", e.service},
              {"address", to_string(e.proxy->address())},
              {"zone", "z"},
              {"version", e.endpoint->version()},
              {"slots", endpoint_slots_},
              {"state", state}});
}

counting_endpoint& gateway_fleet::retire(const std::string& id)
{
  const auto it = endpoints_.find(id);
  retired_.push_back(std::move(it->second));
  endpoints_.erase(it);
  return *retired_.back().endpoint;
}

void gateway_fleet::crash(const std::string& id)
{
  retire(id).close();
  retired_.back().proxy->close();
}

void gateway_fleet::remove(const std::string& id)
{
  store_.erase("servers", id);
  crash(id);
}

std::vector<const counting_endpoint*> gateway_fleet::all_endpoints() const
{
  std::vector<const counting_endpoint*> out;
  for (const auto& [id, each] : endpoints_) {
    out.push_back(each.endpoint.get());
  }
  for (const auto& each : retired_) {
    out.push_back(each.endpoint.get());
  }
  return out;
}

std::uint64_t gateway_fleet::write_configuration()
{
  ++version_;
  json::array routes = {route("safe", "safe", false, timeouts_),
                        route("unsafe", "unsafe", false, timeouts_),
                        route("stream", "streaming", false, timeouts_),
                        route("resumable", "streaming", true, timeouts_)};
  auto& resumable = routes.back().as_object();
  resumable.erase("service");
  resumable["backends"] = backends_of(resumable_services_);
  for (std::uint64_t i = 1; i <= version_; ++i) {
    routes.push_back(route("extra-" + std::to_string(i), "safe", false, timeouts_));
  }
  const json::value workspace = {{"name", "hotel"}, {"apiKeys", json::array{"k1"}}};
  store_.put(
      "config", "main",
      {{"version", version_},
       {"routes", std::move(routes)},
       {"services", json::array{json::object{{"name", "chat"}}, json::object{{"name", "chat-2"}}}},
       {"tenants", json::array{workspace}}});
  return version_;
}

} // namespace wisteriaflow::gateway_system_tests
