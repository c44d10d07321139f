#include "relay/leader_duties.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "errors.h"
#include "relay/async_sleep.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view usage_kind = "gateway-usage";
constexpr milliseconds lease_tick_period{200};
constexpr milliseconds usage_check_period{500};
constexpr milliseconds planning_period{500};
constexpr milliseconds store_timeout{1'000};
// Shorter than the time that a new leader waits for the last calls of the previous one; see
// order_timeout in lease_keeper.cc.
constexpr milliseconds cloud_timeout{900};
// Counts of a window still arrive from other daemons after the window has ended. They are taken as
// complete when this time has passed and either every daemon has reported once more or half of the
// usage deadline has passed.
constexpr milliseconds min_count_settle_time{1'000};
// A report describes a state up to this long before its arrival.
constexpr milliseconds max_report_delay{300};

json::value encode(const gateway::window_counts& counts)
{
  json::object out;
  for (const auto& [workspace, n] : counts) {
    out[workspace.value()] = n;
  }
  return out;
}

gateway::window_counts decode(const json::value& spec)
{
  gateway::window_counts out;
  for (const auto& [workspace, n] : spec.as_object()) {
    out[workspace_id(std::string(workspace))] = n.to_number<std::uint64_t>();
  }
  return out;
}

// A new leader learns of the endpoints in steps: the interval between two reads of the store, by
// this daemon or by a peer that reports what it read, is up to six tenths of the endpoint notice.
// Planning from a partial view would order endpoints for the missing part only to give the rest
// back, so the planner settles first.
milliseconds planner_settle_time(const settings& s)
{
  return std::max(gateway::scaling_planner_options{}.settle_time, s.endpoint_notice);
}

std::string object_name(gateway::usage_window window)
{
  return "window-" + std::to_string(window);
}

} // namespace

leader_duties::leader_duties(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store),
      client_(context, {.connect_timeout = cloud_timeout, .retry_stale_get = false}),
      lease_(context, state, store), planner_({.settle_time = planner_settle_time(state.options)})
{
}

void leader_duties::start()
{
  if (!state_.options.cloud) {
    return;
  }
  asio::co_spawn(context_, maintain_lease(), asio::detached);
  asio::co_spawn(context_, report_usage(), asio::detached);
  asio::co_spawn(context_, run_scaling(), asio::detached);
}

asio::awaitable<void> leader_duties::maintain_lease()
{
  for (;;) {
    lease_.tick();
    co_await async_sleep(lease_tick_period);
  }
}

adapter::leader_identity leader_duties::identity() const
{
  return {.holder = state_.options.id, .fencing_number = lease_.fencing_number()};
}

asio::awaitable<std::optional<int>> leader_duties::call_cloud(http::request message)
{
  const auto target = message.target;
  try {
    const auto deadline = std::chrono::steady_clock::now() + cloud_timeout;
    const auto reply = co_await client_.call(*state_.options.cloud, std::move(message), deadline);
    state_.counters.count("cloud_calls",
                          {{"call", target}, {"status", std::to_string(reply.status)}});
    co_return reply.status;
  } catch (const http::http_error& e) {
    state_.counters.count("cloud_calls", {{"call", target}, {"status", "none"}});
    state_.log.write(daemon::log_level::warn, "cloud call failed",
                     {{"call", target}, {"reason", e.what()}});
    co_return std::nullopt;
  }
}

asio::awaitable<void> leader_duties::report_usage()
{
  for (;;) {
    co_await async_sleep(usage_check_period);
    if (!lease_.holds_lease()) {
      continue;
    }
    const auto now = state_.clock.now(read_clocks());
    const auto current = state_.usage.window_at(now);
    // A daemon that has just become leader may still have to report the window before the last one.
    for (auto window = current - 2; window < current; ++window) {
      const auto end = state_.usage.end_of(window);
      const bool due = counts_are_complete(now - end) && now < end + state_.options.usage_deadline;
      if (due && !reported_windows_.contains(window)) {
        co_await report_window(window);
      }
    }
  }
}

// Returns whether the counts of a window that ended `ago` milliseconds ago can be taken as
// complete.
bool leader_duties::counts_are_complete(milliseconds ago) const
{
  if (ago < min_count_settle_time) {
    return false;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto ended_at = now - ago;
  return state_.peers.all_reported_since(ended_at + max_report_delay, now) ||
         ago >= state_.options.usage_deadline / 2;
}

asio::awaitable<void> leader_duties::report_window(gateway::usage_window window)
{
  const auto counts = co_await persist_counts(window);
  if (!counts || !lease_.holds_lease()) {
    co_return;
  }
  auto message = adapter::usage_report_call(identity(), window, *counts);
  const auto status = co_await call_cloud(std::move(message));
  if (status != http::status::ok) {
    co_return; // retried on the next check, with the same stored counts
  }
  reported_windows_.insert(window);
  state_.log.write(
      daemon::log_level::info, "usage reported",
      {{"window", std::to_string(window)}, {"workspaces", std::to_string(counts->size())}});
  // The store keeps objects until they are removed. Four windows later no daemon reports this
  // window any more.
  constexpr gateway::usage_window retained_windows = 4;
  if (reported_windows_.contains(window - retained_windows)) {
    reported_windows_.erase(window - retained_windows);
    auto remove = adapter::remove_call(usage_kind, object_name(window - retained_windows));
    co_await store_.call(std::move(remove), "usage", store_timeout);
  }
}

asio::awaitable<std::optional<gateway::window_counts>>
leader_duties::persist_counts(gateway::usage_window window)
{
  auto counts = state_.decided_usage(window).value_or(state_.usage.total(window));
  auto message = adapter::create_call(usage_kind, object_name(window), encode(counts));
  const auto reply = co_await store_.call(std::move(message), "usage", store_timeout);
  if (reply.result == adapter::store_result::done) {
    co_return state_.decide_usage(window, std::move(counts));
  }
  if (reply.result != adapter::store_result::conflict) {
    co_return std::nullopt; // the write may have been done; the next attempt then finds it
  }
  try {
    co_return state_.decide_usage(window, decode(adapter::decode_object(reply.body).spec));
  } catch (const std::exception& e) {
    state_.log.write(daemon::log_level::error, "usage entry unreadable",
                     {{"window", std::to_string(window)}, {"reason", e.what()}});
    co_return std::nullopt;
  }
}

gateway::scaling_input leader_duties::scaling_input_for(const gateway::service_definition& s) const
{
  gateway::scaling_input out{.service = s.name, .limits = *s.scaling};
  const auto* order = state_.rollouts.find(s.name);
  for (const auto* e : state_.endpoints.serving(s.name)) {
    // During a rollout both versions run; only one of them carries the traffic.
    if (order != nullptr && !gateway::carries_traffic(*order, e->version)) {
      continue;
    }
    ++out.serving[{.service = s.name, .zone = e->zone, .reclaimable = e->reclaimable}];
  }
  out.busy_endpoints = state_.endpoints.busy_endpoints(s.name, std::chrono::steady_clock::now());
  return out;
}

asio::awaitable<void> leader_duties::run_scaling()
{
  bool was_leader = false;
  for (;;) {
    co_await async_sleep(planning_period);
    if (!lease_.holds_lease() || !state_.endpoints.has_list()) {
      was_leader = false;
      continue;
    }
    if (!std::exchange(was_leader, true)) {
      planner_.forget_orders();
    }
    const auto configuration = state_.configuration();
    for (const auto& s : configuration->declared().services) {
      if (!s.scaling || s.scaling->max_endpoints == 0) {
        continue;
      }
      const auto now = std::chrono::steady_clock::now();
      for (const auto& order : planner_.plan(scaling_input_for(s), now)) {
        if (lease_.holds_lease()) {
          co_await send_order(order);
        }
      }
    }
  }
}

asio::awaitable<void> leader_duties::send_order(gateway::endpoint_order order)
{
  auto message = adapter::endpoint_order_call(identity(), order);
  const auto status = co_await call_cloud(std::move(message));
  const auto answer =
      status ? adapter::decode_order_answer(*status) : gateway::order_result::unanswered;
  planner_.on_result(order, answer, std::chrono::steady_clock::now());
  state_.log.write(daemon::log_level::info, "endpoints ordered",
                   {{"service", order.group.service},
                    {"zone", order.group.zone.value()},
                    {"reclaimable", order.group.reclaimable ? "yes" : "no"},
                    {"wanted", std::to_string(order.wanted)},
                    {"busy", std::to_string(state_.endpoints.busy_endpoints(
                                 order.group.service, std::chrono::steady_clock::now()))},
                    {"status", status ? std::to_string(*status) : "none"}});
}

} // namespace wisteriaflow::relay
