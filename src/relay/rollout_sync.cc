#include "relay/rollout_sync.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "errors.h"
#include "relay/pause.h"
#include "relay/store_list.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// A watch answers at once when there is an order; so long it waits for one. It is short enough that
// one that hangs in a silent connection costs little of an order's time.
constexpr milliseconds watch_wait{2'000};
constexpr milliseconds watch_slack{700};
// Who doesn't lead looks again after this whether it does.
constexpr milliseconds lead_check_period{500};
constexpr milliseconds catch_up_period{150};
// Peers tell how far the orders are known well within this; then it is read here.
constexpr milliseconds peers_tell_time{1'500};
constexpr milliseconds conduct_period{400};

} // namespace

void rollout_sync::start()
{
  if (!state_.has_rollouts()) {
    return;
  }
  asio::co_spawn(context_, watch(), asio::detached);
  asio::co_spawn(context_, catch_up(), asio::detached);
  asio::co_spawn(context_, conduct(), asio::detached);
}

asio::awaitable<void> rollout_sync::watch()
{
  for (unsigned failures = 0;;) {
    const auto after = state_.versions.rollouts_revision();
    if (after == 0 || !state_.leads(std::chrono::steady_clock::now())) {
      co_await async_sleep(lead_check_period);
      continue;
    }
    auto message = adapter::watch_call(adapter::rollout_kind, after, watch_wait);
    const auto reply = co_await store_.call(std::move(message), "watch", watch_wait + watch_slack);
    if (reply.result == adapter::store_result::expired) {
      list_wanted_ = true;
    }
    if (reply.result != adapter::store_result::done) {
      co_await async_sleep(store_.backoff(++failures));
      continue;
    }
    failures = take_changes(reply.body) ? 0 : failures + 1;
    if (failures > 0) {
      list_wanted_ = true;
      co_await async_sleep(store_.backoff(failures));
    }
  }
}

bool rollout_sync::take_changes(const std::string& body)
{
  try {
    const auto page = adapter::decode_changes(body);
    note_nameless(state_, adapter::rollout_kind, page.nameless);
    for (const auto& change : page.changes) {
      if (change.deleted) {
        stored_.erase(change.object.name);
        state_.withdraw_rollout(change.object.name, page.revision);
      } else {
        take(change.object);
      }
    }
    state_.on_rollouts_read(page.revision);
    return true;
  } catch (const adapter::format_error& e) {
    state_.log.write(daemon::log_level::error, "store answer unreadable",
                     {{"kind", std::string(adapter::rollout_kind)}, {"reason", e.what()}});
    return false;
  }
}

bool rollout_sync::lacks_stored() const
{
  const auto is_missing = [&](const auto& it) {
    const auto stored = stored_.find(it.first);
    return gateway::is_open(it.second.latest) &&
           (stored == stored_.end() || stored->second.order != it.second.latest.order);
  };
  const auto& all = state_.rollouts.all();
  return state_.is_acting() && std::any_of(all.begin(), all.end(), is_missing);
}

bool rollout_sync::is_list_due(mono_time now)
{
  if (!state_.versions.awaits_rollouts()) {
    behind_since_.reset();
    return list_wanted_ || lacks_stored();
  }
  behind_since_ = behind_since_.value_or(now);
  return list_wanted_ || state_.leads(now) || now >= *behind_since_ + peers_tell_time;
}

asio::awaitable<void> rollout_sync::catch_up()
{
  for (unsigned failures = 0;;) {
    if (!is_list_due(std::chrono::steady_clock::now())) {
      co_await async_sleep(catch_up_period);
      continue;
    }
    const bool done = co_await list();
    failures = done ? 0 : failures + 1;
    co_await async_sleep(done ? catch_up_period : store_.backoff(failures));
  }
}

asio::awaitable<bool> rollout_sync::list()
{
  list_wanted_ = false;
  const auto all =
      co_await list_objects(store_, state_, adapter::rollout_kind, adapter::list_age::current);
  if (!all.whole) {
    list_wanted_ = true;
    co_return false;
  }
  std::set<std::string> present;
  for (const auto& item : all.items) {
    present.insert(item.name);
    take(item);
  }
  std::vector<std::string> gone;
  for (const auto& [service, e] : state_.rollouts.all()) {
    if (!present.contains(service)) {
      gone.push_back(service);
    }
  }
  for (const auto& service : gone) {
    stored_.erase(service);
    state_.withdraw_rollout(service, all.revision);
  }
  state_.on_rollouts_read(all.revision);
  co_return true;
}

void rollout_sync::take(const adapter::stored_object& entry)
{
  adapter::rollout_entry told;
  try {
    told = adapter::decode_rollout(entry);
  } catch (const adapter::format_error& e) {
    state_.counters.count("rollout_entries_rejected");
    state_.log.write(daemon::log_level::error, "roll-out rejected",
                     {{"service", entry.name},
                      {"revision", std::to_string(entry.revision)},
                      {"reason", e.what()}});
    return;
  }
  const auto now = state_.fleet_time();
  gateway::rollout order{.service = told.service,
                         .order = gateway::order_id(told.service, told.target, told.placed),
                         .revision = entry.revision,
                         .target = told.target,
                         .ordered_at = now,
                         .deadline = now + told.time};
  const auto* known = state_.rollouts.find(told.service);
  // The state of an earlier order for the same version stands there until the new one's is written.
  const bool is_news = known == nullptr || known->order != order.order;
  const bool is_earlier = is_news && known != nullptr && known->target == told.target;
  if (is_earlier && told.told != gateway::rollout_phase::trial) {
    told.told.reset();
  }
  order.phase = told.told.value_or(gateway::rollout_phase::trial);
  stored_[told.service] = {.order = order.order, .revision = entry.revision, .told = told.told};
  if (is_news) {
    state_.log.write(daemon::log_level::info, "roll-out ordered",
                     {{"service", order.service},
                      {"version", order.target},
                      {"for_ms", std::to_string(told.time.count())},
                      {"phase", std::string(to_string(order.phase))}});
  }
  state_.take_rollout(order);
}

asio::awaitable<void> rollout_sync::conduct()
{
  for (;;) {
    co_await async_sleep(conduct_period);
    const auto now = read_clocks();
    if (!state_.leads(now.mono)) {
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
      judge(order, now);
      if (state_.is_acting()) {
        co_await advance(std::move(order));
      }
    }
  }
}

void rollout_sync::take_step(const gateway::rollout& next, const gateway::rollout& before)
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
  state_.take_rollout(next);
}

void rollout_sync::judge(const gateway::rollout& order, const clock_reading& now)
{
  if (!gateway::is_open(order)) {
    return;
  }
  if (const auto stopped = conductor_.roll_back_if_bad(order, state_.rollout_rows, now)) {
    take_step(*stopped, order);
  }
}

asio::awaitable<void> rollout_sync::advance(gateway::rollout order)
{
  const auto* known = state_.rollouts.find(order.service);
  if (known == nullptr || known->order != order.order) {
    co_return; // replaced meanwhile
  }
  order = *known;
  const auto now = state_.fleet_time();
  const auto next = conductor_.next_phase(order, state_.rollout_rows, endpoints_of(order), now);
  if (next) {
    take_step(*next, order);
    order = *next;
  }
  const auto fleet = standing(std::chrono::steady_clock::now());
  if (conductor_.is_complete(order, state_.rollout_rows, fleet, now)) {
    auto done = order;
    done.phase = gateway::rollout_phase::succeeded;
    done.reason = "no call is left at the version before";
    if (co_await write_status(done)) {
      take_step(done, order);
    }
    co_return;
  }
  co_await write_status(order);
}

asio::awaitable<bool> rollout_sync::write_status(gateway::rollout order)
{
  const auto it = stored_.find(order.service);
  if (it == stored_.end() || it->second.order != order.order) {
    co_return false; // read first; see lacks_stored()
  }
  const auto shown =
      order.phase == gateway::rollout_phase::moving ? gateway::rollout_phase::trial : order.phase;
  if (it->second.told == shown) {
    co_return true;
  }
  auto message =
      adapter::replace_status_call(adapter::rollout_kind, order.service,
                                   adapter::encode_rollout_status(order), it->second.revision);
  const auto reply = co_await store_.call(std::move(message), "rollout", store_call_timeout);
  if (reply.result == adapter::store_result::done) {
    if (const auto written = stored_.find(order.service); written != stored_.end()) {
      written->second.told = shown;
    }
  }
  // The revision has changed, by this write or another's; it may have been done without an answer.
  list_wanted_ = true;
  co_return reply.result == adapter::store_result::done;
}

gateway::fleet_status rollout_sync::standing(mono_time now) const
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
