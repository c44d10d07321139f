#include "relay/rollout_sync.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "errors.h"
#include "relay/async_sleep.h"
#include "relay/store_changes.h"
#include "relay/store_list.h"
#include "wisteriaflow/base/percent_encoding.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// A watch returns at once if there is a change, and otherwise after this time. It is short so that
// a watch on a silently dead connection uses up little of an order's time.
constexpr milliseconds watch_wait{2'000};
// A daemon that is not a coordinator checks again after this time whether it has become one.
constexpr milliseconds coordinator_check_period{500};
constexpr milliseconds list_check_period{150};
// Peers report the revision up to which they know the orders well within this time; after it, this
// daemon reads the store itself.
constexpr milliseconds peer_propagation_time{1'500};
constexpr milliseconds advance_period{400};
// What a restored store lacks is written again within two seconds.
constexpr milliseconds withdrawal_hold_time{2'300};

} // namespace

void rollout_sync::start()
{
  if (!state_.rollouts_enabled()) {
    return;
  }
  asio::co_spawn(context_, watch(), asio::detached);
  asio::co_spawn(context_, refresh_list(), asio::detached);
  asio::co_spawn(context_, advance_rollouts(), asio::detached);
}

asio::awaitable<void> rollout_sync::watch()
{
  for (unsigned failures = 0;;) {
    const auto after = state_.versions.rollouts_revision();
    if (after.number == 0 || !state_.is_coordinator(std::chrono::steady_clock::now())) {
      co_await async_sleep(coordinator_check_period);
      continue;
    }
    const auto asked_at = std::chrono::steady_clock::now();
    const auto read =
        co_await read_changes(store_, state_, adapter::rollout_kind, after, watch_wait);
    if (read.result != adapter::store_result::done) {
      list_requested_ = list_requested_ || read.result == adapter::store_result::expired;
      co_await async_sleep(store_.backoff(++failures));
      continue;
    }
    failures = 0;
    apply_changes(read.page);
    co_await pause_if_unchanged(read.page, asked_at);
  }
}

void rollout_sync::apply_changes(const adapter::change_page& page)
{
  for (const auto& change : page.changes) {
    if (change.deleted) {
      stored_orders_.erase(change.object.name);
      state_.withdraw_rollout(change.object.name, page.revision);
    } else {
      apply_entry(change.object);
    }
  }
  state_.on_rollouts_read(page.revision);
}

bool rollout_sync::lacks_stored_order() const
{
  const auto is_missing = [&](const auto& it) {
    const auto stored = stored_orders_.find(it.first);
    return gateway::is_open(it.second.latest) &&
           (stored == stored_orders_.end() || stored->second.order != it.second.latest.order);
  };
  const auto& all = state_.rollouts.all();
  return state_.is_leader() && std::any_of(all.begin(), all.end(), is_missing);
}

void rollout_sync::on_store_restored()
{
  list_requested_ = true;
  withdrawals_held_until_ = std::chrono::steady_clock::now() + withdrawal_hold_time;
}

bool rollout_sync::is_list_due(mono_time now)
{
  if (withdrawals_held_until_ && now >= *withdrawals_held_until_) {
    withdrawals_held_until_.reset();
    list_requested_ = true;
  }
  if (!state_.versions.awaits_rollouts()) {
    behind_since_.reset();
    return list_requested_ || lacks_stored_order();
  }
  behind_since_ = behind_since_.value_or(now);
  return list_requested_ || state_.is_coordinator(now) ||
         now >= *behind_since_ + peer_propagation_time;
}

asio::awaitable<void> rollout_sync::refresh_list()
{
  for (unsigned failures = 0;;) {
    if (!is_list_due(std::chrono::steady_clock::now())) {
      co_await async_sleep(list_check_period);
      continue;
    }
    const bool done = co_await list_rollouts();
    failures = done ? 0 : failures + 1;
    co_await async_sleep(done ? list_check_period : store_.backoff(failures));
  }
}

asio::awaitable<bool> rollout_sync::list_rollouts()
{
  list_requested_ = false;
  const auto listed =
      co_await list_objects(store_, state_, adapter::rollout_kind, adapter::list_age::current);
  if (!listed.is_complete) {
    list_requested_ = true;
    co_return false;
  }
  std::set<std::string> present;
  for (const auto& item : listed.items) {
    present.insert(item.name);
    apply_entry(item);
  }
  std::vector<std::string> removed;
  for (const auto& [service, e] : state_.rollouts.all()) {
    if (!present.contains(service) && !withdrawals_held_until_) {
      removed.push_back(service);
    }
  }
  for (const auto& service : removed) {
    stored_orders_.erase(service);
    state_.withdraw_rollout(service, listed.revision);
  }
  state_.on_rollouts_read(listed.revision);
  co_return true;
}

void rollout_sync::apply_entry(const adapter::stored_object& entry)
{
  adapter::rollout_entry decoded;
  try {
    decoded = adapter::decode_rollout(entry);
  } catch (const adapter::format_error& e) {
    state_.counters.count("rollout_entries_rejected");
    state_.log.write(daemon::log_level::error, "roll-out rejected",
                     {{"service", percent_encoded(entry.name)},
                      {"revision", to_string(entry.revision)},
                      {"reason", e.what()}});
    return;
  }
  const auto now = state_.fleet_time();
  gateway::rollout order{
      .service = decoded.service,
      .order = gateway::order_id(decoded.service, decoded.target, decoded.fingerprint),
      .revision = entry.revision,
      .target = decoded.target,
      .ordered_at = now,
      .deadline = now + decoded.duration};
  const auto* known = state_.rollouts.find(decoded.service);
  // After a new order for the same version the entry still has the status of the earlier order,
  // until the new one's status is written.
  if (known != nullptr && known->target == order.target &&
      known->revision.era < order.revision.era) {
    order.order = known->order; // the same order, written again after a restore
  }
  const bool is_new = known == nullptr || known->order != order.order;
  const bool same_target_as_known = is_new && known != nullptr && known->target == decoded.target;
  if (same_target_as_known && decoded.recorded_phase != gateway::rollout_phase::trial) {
    decoded.recorded_phase.reset();
  }
  order.phase = decoded.recorded_phase.value_or(gateway::rollout_phase::trial);
  stored_orders_[decoded.service] = {
      .order = order.order, .revision = entry.revision, .written_phase = decoded.recorded_phase};
  if (is_new) {
    state_.log.write(daemon::log_level::info, "roll-out ordered",
                     {{"service", order.service},
                      {"version", order.target},
                      {"for_ms", std::to_string(decoded.duration.count())},
                      {"phase", std::string(to_string(order.phase))}});
  }
  state_.apply_rollout(order);
}

asio::awaitable<void> rollout_sync::advance_rollouts()
{
  for (;;) {
    co_await async_sleep(advance_period);
    const auto now = read_clocks();
    if (!state_.is_coordinator(now.mono)) {
      continue;
    }
    for (const auto& row : state_.version_calls.rows(state_.clock.now(now))) {
      state_.rollout_rows.merge(row);
    }
    conductor_.retain(state_.rollouts);
    std::vector<gateway::rollout> orders;
    for (const auto& [service, e] : state_.rollouts.all()) {
      orders.push_back(e.latest);
    }
    for (auto& order : orders) {
      stop_if_bad(order, now);
      if (state_.is_leader()) {
        co_await advance(std::move(order));
      }
    }
  }
}

void rollout_sync::apply_phase_change(const gateway::rollout& next, const gateway::rollout& before)
{
  if (next.phase == before.phase) {
    return;
  }
  const auto sent = state_.version_calls.exposure_of(next.service);
  state_.log.write(daemon::log_level::info, "roll-out goes on",
                   {{"service", next.service},
                    {"version", next.target},
                    {"phase", std::string(to_string(next.phase))},
                    {"phase_before", std::string(to_string(before.phase))},
                    {"reason", next.reason},
                    {"own_calls", std::to_string(sent.calls)},
                    {"own_calls_to_version", std::to_string(sent.to_target)}});
  state_.counters.count("rollout_steps", {{"phase", std::string(to_string(next.phase))}});
  state_.apply_rollout(next);
}

void rollout_sync::stop_if_bad(const gateway::rollout& order, const clock_reading& now)
{
  if (!gateway::is_open(order)) {
    return;
  }
  if (const auto stopped = conductor_.roll_back_if_bad(order, state_.rollout_rows, now)) {
    apply_phase_change(*stopped, order);
  }
}

asio::awaitable<void> rollout_sync::advance(gateway::rollout order)
{
  const auto* known = state_.rollouts.find(order.service);
  if (known == nullptr || known->order != order.order) {
    co_return; // replaced in the meantime
  }
  order = *known;
  const auto now = state_.fleet_time();
  const auto next = conductor_.next_phase(order, state_.rollout_rows, endpoints_of(order), now);
  if (next) {
    apply_phase_change(*next, order);
    order = *next;
  }
  const auto fleet = fleet_status_at(std::chrono::steady_clock::now());
  if (conductor_.is_complete(order, state_.rollout_rows, fleet, now)) {
    auto done = order;
    done.phase = gateway::rollout_phase::succeeded;
    done.reason = "no call is left at the version before";
    if (co_await write_status(done)) {
      apply_phase_change(done, order);
    }
    co_return;
  }
  co_await write_status(order);
}

asio::awaitable<bool> rollout_sync::write_status(gateway::rollout order)
{
  const auto it = stored_orders_.find(order.service);
  if (it == stored_orders_.end() || it->second.order != order.order) {
    co_return false; // the store must be read first; see lacks_stored_order()
  }
  const auto shown =
      order.phase == gateway::rollout_phase::moving ? gateway::rollout_phase::trial : order.phase;
  if (it->second.written_phase == shown) {
    co_return true;
  }
  auto message =
      adapter::replace_status_call(adapter::rollout_kind, order.service,
                                   adapter::encode_rollout_status(order), it->second.revision);
  const auto reply = co_await store_.call(std::move(message), "rollout", store_call_timeout);
  if (reply.result == adapter::store_result::done) {
    if (const auto written = stored_orders_.find(order.service); written != stored_orders_.end()) {
      written->second.written_phase = shown;
    }
  }
  // The revision has changed, by this write or by another one; a write without an answer may have
  // been done.
  list_requested_ = true;
  co_return reply.result == adapter::store_result::done;
}

gateway::fleet_status rollout_sync::fleet_status_at(mono_time now) const
{
  gateway::fleet_status out{.live = {state_.options.id}};
  for (const auto& peer : state_.peers.live(now)) {
    out.live.push_back(peer.id);
  }
  out.has_silent_daemons = state_.peers.running_count(now) > out.live.size();
  return out;
}

gateway::version_endpoint_counts rollout_sync::endpoints_of(const gateway::rollout& order) const
{
  gateway::version_endpoint_counts out;
  for (const auto* e : state_.endpoints.serving(order.service)) {
    if (e->version != order.target) {
      ++out.baseline;
    } else if (!e->cold) {
      ++out.target;
    }
  }
  return out;
}

} // namespace wisteriaflow::relay
