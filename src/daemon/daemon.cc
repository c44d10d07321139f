#include "wisteriaflow/daemon/daemon.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/core/daemon_core.h"
#include "wisteriaflow/daemon/caller_server.h"
#include "wisteriaflow/daemon/endpoint_client.h"
#include "wisteriaflow/daemon/log_writer.h"
#include "wisteriaflow/daemon/platform_client.h"
#include "wisteriaflow/peer/peer_transport.h"

namespace wisteriaflow::daemon {
namespace {

// The core runs at least this often, so that a clock step cannot suspend it.
constexpr std::chrono::milliseconds max_sleep{500};
// Delay before the core retries to send actions to a full ring.
constexpr std::chrono::milliseconds full_ring_retry_delay{1};
// Time for the I/O components to carry out the last actions before they are stopped.
constexpr std::chrono::milliseconds final_action_time{200};
// With 32 shards and a flush interval of 200 ms, this keeps the writes of a shard's owner below
// its limit of 16 KB/s at 540 claims per second (bench/claims_bench: 11.5 KB/s per shard, 219
// writes/s, 102 ms mean wait).
constexpr std::size_t claim_tail_entries = 16;

clock_reading read_clocks()
{
  const auto wall = std::chrono::system_clock::now();
  return {.mono = std::chrono::steady_clock::now(),
          .wall = std::chrono::time_point_cast<std::chrono::milliseconds>(wall)};
}

std::vector<http::socket_address> parse_seeds(const std::string& text)
{
  std::vector<http::socket_address> out;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    out.push_back(http::parse_socket_address(part));
  }
  return out;
}

core::capacity_options capacity_options_of(const settings& s)
{
  core::capacity_options out;
  out.enabled = s.capacity_enabled == "true";
  out.plan_period = s.capacity_plan_period;
  out.lease_duration = s.capacity_lease_duration;
  out.lease_renew_period = s.capacity_lease_renew_period;
  out.order_timeout = s.capacity_order_timeout;
  out.clock_skew = s.capacity_clock_skew;
  auto& p = out.planner;
  p.target_utilisation = static_cast<double>(s.capacity_utilisation_percent) / 100;
  p.service_requests_per_second = static_cast<double>(s.capacity_service_requests_per_second);
  p.launch_time = s.capacity_launch_time;
  p.launch_timeout = s.capacity_launch_timeout;
  p.payback_horizon = s.capacity_payback_horizon;
  p.release_after = s.capacity_release_after;
  p.backoff.initial = s.capacity_launch_backoff;
  p.backoff.limit = s.capacity_launch_backoff_limit;
  p.backoff.reclaim_backoff = s.capacity_reclaim_backoff;
  p.loads.bytes_per_second = static_cast<double>(s.capacity_weight_store_bytes_per_second);
  return out;
}

core::daemon_core_options core_options_of(const settings& s, const http::socket_address& callers,
                                          const http::socket_address& peers)
{
  core::daemon_core_options out;
  out.self = daemon_id(s.daemon_id);
  out.instance = instance_id(s.instance_id.empty() ? s.daemon_id : s.instance_id);
  out.zone = availability_zone(s.availability_zone);
  out.caller_address = callers;
  out.peer_address = peers;
  out.seeds = parse_seeds(s.peer_seeds);
  const auto started = static_cast<std::uint64_t>(to_unix_ms(read_clocks().wall));
  out.seed = s.seed != 0 ? static_cast<std::uint64_t>(s.seed) : hash64_of(s.daemon_id, started);
  out.has_cloud = !s.cloud_api.empty();
  out.gossip_period = s.gossip_period;
  out.gossip_fanout = static_cast<int>(s.gossip_fanout);
  out.suspect_after = s.suspect_after;
  out.gone_after = s.gone_after;
  out.peer_call_timeout = s.peer_call_timeout;
  out.platform_call_timeout = s.platform_call_timeout;
  out.address_validity = s.address_validity;
  out.default_timeout = s.default_timeout;
  out.max_timeout = s.max_timeout;
  out.answer_retention = s.answer_retention;
  out.answer_memory_bytes = static_cast<std::size_t>(s.answer_memory_bytes);
  out.requests_in_flight_limit = static_cast<std::size_t>(s.requests_in_flight_limit);
  out.prompt_limit_bytes = static_cast<std::size_t>(s.prompt_limit_bytes);
  out.output_token_limit = s.output_token_limit;
  out.claims.shards = static_cast<std::uint32_t>(s.claim_shards);
  out.claims.retention = s.claim_retention;
  out.claims.flush_interval = s.claim_flush_interval;
  out.claims.max_tail_entries = claim_tail_entries;
  out.subset_size = static_cast<std::size_t>(s.subset_size);
  out.load_period = s.load_period;
  out.first_token_target = s.first_token_target;
  out.retry_budget = static_cast<double>(s.retry_budget_percent) / 100;
  out.drain_grace = s.drain_grace;
  out.capacity = capacity_options_of(s);
  out.capacity.planner.backoff.seed = out.seed;
  return out;
}

log_level level_of(core::severity severity)
{
  switch (severity) {
  case core::severity::debug:
    return log_level::debug;
  case core::severity::info:
    return log_level::info;
  case core::severity::warn:
    return log_level::warn;
  case core::severity::error:
    return log_level::error;
  }
  return log_level::info;
}

} // namespace

class daemon::implementation {
 public:
  explicit implementation(const settings& s)
      : events_(std::make_shared<event_ring>(event_ring_capacity)), callers_(s, events_),
        endpoints_(events_), platform_(s, events_),
        peers_({.listen = http::parse_socket_address(s.peers_listen)}, events_),
        to_callers_(callers_.ring()), to_endpoints_(endpoints_.ring()),
        to_platform_(platform_.ring()), to_peers_(peers_.ring()),
        core_(core_options_of(s, callers_.address(), peers_.address()), read_clocks()),
        id_(s.daemon_id)
  {
  }

  [[nodiscard]] http::socket_address caller_address() const { return callers_.address(); }
  [[nodiscard]] http::socket_address peer_address() const { return peers_.address(); }

  void request_drain() { events_->try_push(core::drain_requested{}); }

  void run()
  {
    callers_.start();
    endpoints_.start();
    platform_.start();
    peers_.start();
    log_.write({.message = "started",
                .fields = {{"daemon", id_},
                           {"callers", to_string(caller_address())},
                           {"peers", to_string(peer_address())}}});
    perform(core_.handle(core::ticked{}, read_clocks()));
    while (!stopping_) {
      step();
    }
    std::this_thread::sleep_for(final_action_time);
    callers_.stop();
    endpoints_.stop();
    platform_.stop();
    peers_.stop();
  }

 private:
  void step()
  {
    auto wake = std::chrono::steady_clock::now() + (flushed_ ? max_sleep : full_ring_retry_delay);
    if (const auto due = core_.wake_at()) {
      wake = std::min(wake, *due);
    }
    auto events = events_->wait_pop_all(wake);
    if (events.empty()) {
      events.emplace_back(core::ticked{});
    }
    for (auto& e : events) {
      perform(core_.handle(std::move(e), read_clocks()));
    }
    const bool callers = to_callers_.flush();
    const bool endpoints = to_endpoints_.flush();
    const bool platform = to_platform_.flush();
    const bool peers = to_peers_.flush();
    flushed_ = callers && endpoints && platform && peers;
  }

  void perform(std::vector<core::action> actions)
  {
    for (auto& a : actions) {
      std::visit([this](auto& one) { dispatch(std::move(one)); }, a);
    }
  }

  void dispatch(core::caller_action a) { to_callers_.post(std::move(a)); }
  void dispatch(core::endpoint_action a) { to_endpoints_.post(std::move(a)); }
  void dispatch(core::platform_action a) { to_platform_.post(std::move(a)); }
  void dispatch(core::peer_action a) { to_peers_.post(std::move(a)); }
  void dispatch(core::process_action a)
  {
    if (std::holds_alternative<core::stop_process>(a)) {
      stopping_ = true;
      return;
    }
    auto& line = std::get<core::log_event>(a);
    line.fields.emplace_back("daemon", id_);
    log_.write({.level = level_of(line.level),
                .message = std::move(line.message),
                .fields = std::move(line.fields)});
  }

  std::shared_ptr<event_ring> events_;
  caller_server callers_;
  endpoint_client endpoints_;
  platform_client platform_;
  peer::peer_transport peers_;
  ring_sender<core::caller_action> to_callers_;
  ring_sender<core::endpoint_action> to_endpoints_;
  ring_sender<core::platform_action> to_platform_;
  ring_sender<core::peer_action> to_peers_;
  core::daemon_core core_;
  std::string id_;
  log_writer log_;
  bool flushed_ = true;
  bool stopping_ = false;
};

daemon::daemon(const settings& s) : implementation_(std::make_unique<implementation>(s)) {}

daemon::~daemon() = default;

http::socket_address daemon::caller_address() const
{
  return implementation_->caller_address();
}

http::socket_address daemon::peer_address() const
{
  return implementation_->peer_address();
}

void daemon::run()
{
  implementation_->run();
}

void daemon::request_drain()
{
  implementation_->request_drain();
}

} // namespace wisteriaflow::daemon
