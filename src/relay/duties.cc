#include "relay/duties.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "errors.h"
#include "relay/pause.h"
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
// Within the time for which the lease spares a new holder; see lease_keeper.
constexpr milliseconds cloud_timeout{900};
// After a window's end its counts are still on their way from the other daemons: each has to report
// once more, or half of the time until the report is due has passed.
constexpr milliseconds counts_settle{1'000};
// A report may have been made this long before it came.
constexpr milliseconds last_count_delay{300};

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

// Endpoints are known in steps as far apart as this daemon reads the store or hears of others'
// readings, up to six tenths of the notice that an endpoint gives: a first part is not to be taken
// for the whole fleet, since orders by it give the rest back.
milliseconds settle_time_of(const settings& s)
{
  return std::max(gateway::scaling_planner_options{}.settle_time, s.endpoint_notice);
}

std::string object_name(gateway::usage_window window)
{
  return "window-" + std::to_string(window);
}

} // namespace

duties::duties(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store),
      client_(context, {.connect_timeout = cloud_timeout, .repeat_stale_get = false}),
      lease_(context, state, store), planner_({.settle_time = settle_time_of(state.options)})
{
}

void duties::start()
{
  if (!state_.options.cloud) {
    return;
  }
  asio::co_spawn(context_, keep_lease(), asio::detached);
  asio::co_spawn(context_, report_usage(), asio::detached);
  asio::co_spawn(context_, order_endpoints(), asio::detached);
}

asio::awaitable<void> duties::keep_lease()
{
  for (;;) {
    lease_.tick();
    co_await async_sleep(lease_tick_period);
  }
}

adapter::duty_stamp duties::stamp() const
{
  return {.holder = state_.options.id, .fencing_number = lease_.fencing_number()};
}

asio::awaitable<std::optional<int>> duties::call_cloud(http::request message)
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

asio::awaitable<void> duties::report_usage()
{
  for (;;) {
    co_await async_sleep(usage_check_period);
    if (!lease_.may_act()) {
      continue;
    }
    const auto now = state_.clock.now(read_clocks());
    const auto current = state_.usage.window_at(now);
    // The report before the last may still be due when the duty has just moved here.
    for (auto window = current - 2; window < current; ++window) {
      const auto end = state_.usage.end_of(window);
      const bool due = counts_are_in(now - end) && now < end + state_.options.usage_deadline;
      if (due && !reported_.contains(window)) {
        co_await report_window(window);
      }
    }
  }
}

// Whether the counts of a window that ended `ago` can be taken for whole.
bool duties::counts_are_in(milliseconds ago) const
{
  if (ago < counts_settle) {
    return false;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto ended_at = now - ago;
  return state_.peers.all_reported_since(ended_at + last_count_delay, now) ||
         ago >= state_.options.usage_deadline / 2;
}

asio::awaitable<void> duties::report_window(gateway::usage_window window)
{
  const auto counts = co_await settle_counts(window);
  if (!counts || !lease_.may_act()) {
    co_return;
  }
  auto message = adapter::usage_call(stamp(), window, *counts);
  const auto status = co_await call_cloud(std::move(message));
  if (status != http::status::ok) {
    co_return; // sent again, with the same counts
  }
  reported_.insert(window);
  state_.log.write(
      daemon::log_level::info, "usage reported",
      {{"window", std::to_string(window)}, {"workspaces", std::to_string(counts->size())}});
  // Nothing expires by itself. Four windows later nobody reports this one any more.
  constexpr gateway::usage_window kept = 4;
  if (reported_.contains(window - kept)) {
    reported_.erase(window - kept);
    auto remove = adapter::remove_call(usage_kind, object_name(window - kept));
    co_await store_.call(std::move(remove), "usage", store_timeout);
  }
}

asio::awaitable<std::optional<gateway::window_counts>>
duties::settle_counts(gateway::usage_window window)
{
  auto counts = state_.usage.total(window);
  auto message = adapter::create_call(usage_kind, object_name(window), encode(counts));
  const auto reply = co_await store_.call(std::move(message), "usage", store_timeout);
  if (reply.result == adapter::store_result::done) {
    co_return counts;
  }
  if (reply.result != adapter::store_result::conflict) {
    co_return std::nullopt; // perhaps written: the next try finds it
  }
  try {
    co_return decode(adapter::decode_object(reply.body).spec);
  } catch (const std::exception& e) {
    state_.log.write(daemon::log_level::error, "usage entry unreadable",
                     {{"window", std::to_string(window)}, {"reason", e.what()}});
    co_return std::nullopt;
  }
}

gateway::scaling_input duties::scaling_of(const gateway::service_definition& s) const
{
  gateway::scaling_input out{.service = s.name, .limits = *s.scaling};
  const auto* order = state_.rollouts.find(s.name);
  for (const auto* e : state_.endpoints.serving(s.name)) {
    // Both versions stand side by side; only one of them carries the traffic.
    if (order != nullptr && !gateway::carries_traffic(*order, e->version)) {
      continue;
    }
    ++out.serving[{.service = s.name, .zone = e->zone, .reclaimable = e->reclaimable}];
  }
  out.busy_endpoints = state_.endpoints.busy_endpoints(s.name, std::chrono::steady_clock::now());
  return out;
}

asio::awaitable<void> duties::order_endpoints()
{
  bool acted = false;
  for (;;) {
    co_await async_sleep(planning_period);
    if (!lease_.may_act() || !state_.endpoints.has_list()) {
      acted = false;
      continue;
    }
    if (!std::exchange(acted, true)) {
      planner_.forget_orders();
    }
    const auto configuration = state_.configuration();
    for (const auto& s : configuration->declared().services) {
      if (!s.scaling || s.scaling->max_endpoints == 0) {
        continue;
      }
      const auto now = std::chrono::steady_clock::now();
      for (const auto& order : planner_.plan(scaling_of(s), now)) {
        if (lease_.may_act()) {
          co_await send_order(order);
        }
      }
    }
  }
}

asio::awaitable<void> duties::send_order(gateway::endpoint_order order)
{
  auto message = adapter::order_call(stamp(), order);
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
