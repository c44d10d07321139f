#include "relay/store_sync.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "documents.h"
#include "errors.h"
#include "relay/async_sleep.h"
#include "relay/store_changes.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/percent_encoding.h"
#include "wisteriaflow/gateway/endpoint_name.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// The kind of the objects under which daemons register.
constexpr std::string_view daemon_kind = "gateway-daemons";

// A configuration watch returns at once if there is a new configuration, and otherwise after its
// wait. A coordinator's wait is short enough to notice a silently dead connection well within the
// time in which a configuration must be in force. The other daemons may wait longer, because peers
// report new configurations to them.
constexpr milliseconds coordinator_configuration_wait{2'000};
constexpr milliseconds max_configuration_wait{28'000};
constexpr double configuration_calls_per_second = 4; // of all daemons but the coordinators
// Heartbeats do not raise the revision, so most reads find no change; waiting a little for a change
// that comes soon saves a call.
constexpr milliseconds endpoint_watch_wait{200};
// Minimum pause before checking again whether a read is due; a peer's report may postpone it.
constexpr milliseconds endpoint_check_period{50};
// Daemons find each other through peers; the list in the store only helps daemons that know no
// peer.
constexpr milliseconds min_daemon_list_period{10'000};
constexpr milliseconds max_daemon_list_period{60'000};
constexpr double daemon_lists_per_second = 2; // of the fleet
// The store limits an answer to some 500 objects, so one with this many changes may be incomplete:
// while hundreds of endpoints leave, each updates the time that it stays with every heartbeat.
constexpr std::size_t full_page_changes = 100;
// Failed attempts to read the changes since a list before the list counts as too old.
constexpr unsigned max_catch_up_failures = 5;
// Number of unreadable entries, written by other programs, that are remembered as already logged.
constexpr std::size_t max_remembered_rejections = 1'000;
// Expired entries are written again within two seconds after the store is back.
constexpr milliseconds removal_hold_time{2'300};

// Returns the revision at which the removed entry of change `i` was gone. This is the page's
// revision, unless the entry exists again later in the page: an endpoint that stops and starts
// again under the same id must not be considered gone.
gateway::store_revision removal_revision(const adapter::change_page& page, std::size_t i)
{
  const auto& name = page.changes[i].object.name;
  for (auto next = i + 1; next < page.changes.size(); ++next) {
    const auto& later = page.changes[next];
    if (!later.deleted && later.object.name == name) {
      return std::min(page.revision, later.object.revision.before());
    }
  }
  return page.revision;
}

} // namespace

store_sync::store_sync(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store)
{
  store_.set_recovery_callback([this] { on_store_recovery(); });
  store_.add_restore_callback([this] { on_store_restored(); });
}

void store_sync::start()
{
  asio::co_spawn(context_, follow_configuration(), asio::detached);
  asio::co_spawn(context_, follow_endpoints(), asio::detached);
  asio::co_spawn(context_, follow_daemons(), asio::detached);
}

void store_sync::on_store_recovery()
{
  state_.endpoints.hold_removals_until(std::chrono::steady_clock::now() + removal_hold_time);
}

// Endpoints that the copy lacks write their entries again, as after an outage.
void store_sync::on_store_restored()
{
  on_store_recovery();
  endpoint_list_age_ = adapter::list_age::current;
  state_.feed.on_store_restored(std::chrono::steady_clock::now());
  asio::co_spawn(context_, register_daemon(), asio::detached);
}

asio::awaitable<void> store_sync::follow_configuration()
{
  for (unsigned failures = 0;;) {
    const auto all = co_await list_objects(store_, state_, adapter::configuration_kind,
                                           adapter::list_age::current);
    for (const auto& item : all.items) {
      if (item.name == adapter::configuration_name) {
        state_.apply_configuration_if_newer(item.spec, "list");
      }
    }
    if (all.is_complete) {
      failures = 0;
      state_.on_configuration_read(std::chrono::steady_clock::now());
      co_await watch_configuration(all.revision);
    }
    co_await async_sleep(store_.backoff(++failures));
  }
}

milliseconds store_sync::configuration_wait() const
{
  if (state_.is_coordinator(std::chrono::steady_clock::now())) {
    return coordinator_configuration_wait;
  }
  return std::clamp(state_.call_period(configuration_calls_per_second),
                    coordinator_configuration_wait, max_configuration_wait);
}

asio::awaitable<void> store_sync::watch_configuration(gateway::store_revision revision)
{
  for (unsigned failures = 0;;) {
    const auto wait = configuration_wait();
    const auto asked_at = std::chrono::steady_clock::now();
    const auto read =
        co_await read_changes(store_, state_, adapter::configuration_kind, revision, wait);
    if (read.result == adapter::store_result::expired) {
      co_return;
    }
    if (read.result != adapter::store_result::done) {
      co_await async_sleep(store_.backoff(++failures));
      continue; // a new list is needed only after a gap in the history
    }
    failures = 0;
    revision = read.page.revision;
    for (const auto& c : read.page.changes) {
      if (!c.deleted && c.object.name == adapter::configuration_name) {
        state_.apply_configuration_if_newer(c.object.spec, "watch");
      }
    }
    state_.on_configuration_read(std::chrono::steady_clock::now());
    co_await pause_if_unchanged(read.page, asked_at);
  }
}

asio::awaitable<void> store_sync::follow_endpoints()
{
  // A stale list does not count towards the store's rate limit; the changes since then are read
  // after it. If the store no longer has this history, the next list is a current one.
  for (unsigned failures = 0;;) {
    const auto all =
        co_await list_objects(store_, state_, adapter::endpoint_kind, endpoint_list_age_);
    if (all.is_complete) {
      const bool caught_up = co_await apply_list_and_changes(all);
      endpoint_list_age_ = caught_up ? adapter::list_age::may_be_stale : adapter::list_age::current;
      if (caught_up) {
        failures = 0;
        co_await watch_endpoints();
      }
    }
    co_await async_sleep(store_.backoff(++failures));
  }
}

asio::awaitable<bool> store_sync::apply_list_and_changes(const listing& all)
{
  // The list is applied only with the changes since it was current: an endpoint may have left in
  // the meantime.
  std::vector<adapter::change_page> pages;
  auto after = all.revision;
  for (unsigned failures = 0; failures < max_catch_up_failures;) {
    const auto asked_at = std::chrono::steady_clock::now();
    auto read =
        co_await read_changes(store_, state_, adapter::endpoint_kind, after, milliseconds{0});
    if (read.result == adapter::store_result::expired) {
      co_return false;
    }
    if (read.result != adapter::store_result::done) {
      co_await async_sleep(store_.backoff(++failures));
      continue;
    }
    after = read.page.revision;
    const bool is_last = read.page.changes.size() < full_page_changes;
    pages.push_back(std::move(read.page));
    if (is_last) {
      apply_endpoint_list(all);
      state_.feed.on_list(state_.endpoints.all(), all.revision, asked_at);
      for (const auto& page : pages) {
        apply_endpoint_changes(page);
      }
      state_.feed.on_read(after, asked_at);
      co_return true;
    }
  }
  co_return false;
}

asio::awaitable<void> store_sync::wait_until_due()
{
  for (;;) {
    const auto now = std::chrono::steady_clock::now();
    if (state_.feed.is_read_due(now)) {
      co_return;
    }
    const auto left = std::chrono::ceil<milliseconds>(state_.feed.next_read_at() - now);
    co_await async_sleep(std::max(left, endpoint_check_period));
  }
}

asio::awaitable<void> store_sync::watch_endpoints()
{
  for (unsigned failures = 0;;) {
    co_await wait_until_due();
    const auto asked_at = std::chrono::steady_clock::now();
    const auto after = state_.feed.revision();
    const auto read =
        co_await read_changes(store_, state_, adapter::endpoint_kind, after, endpoint_watch_wait);
    if (read.result == adapter::store_result::expired) {
      co_return;
    }
    if (read.result != adapter::store_result::done) {
      co_await async_sleep(store_.backoff(++failures));
      continue;
    }
    failures = 0;
    apply_page(read.page, asked_at);
  }
}

void store_sync::apply_page(const adapter::change_page& page, mono_time asked_at)
{
  apply_endpoint_changes(page);
  if (page.changes.size() < full_page_changes) {
    state_.feed.on_read(page.revision, asked_at);
  } else {
    state_.feed.on_partial_read(page.revision);
  }
}

void store_sync::apply_endpoint_list(const listing& all)
{
  std::vector<gateway::endpoint_record> records;
  for (const auto& item : all.items) {
    if (!is_endpoint(item)) {
      continue;
    }
    try {
      records.push_back(adapter::decode_endpoint(item));
    } catch (const adapter::format_error& e) {
      reject_endpoint(item, all.revision, e.what());
    }
  }
  state_.endpoints.replace_all(records, all.revision, std::chrono::steady_clock::now());
  for (const auto& r : records) {
    state_.feed.update(r);
  }
  state_.log.write(
      daemon::log_level::info, "endpoints listed",
      {{"count", std::to_string(records.size())}, {"revision", to_string(all.revision)}});
}

bool store_sync::is_endpoint(const adapter::stored_object& entry)
{
  const bool out = gateway::is_endpoint_id(entry.name);
  if (!out) {
    log_rejection(entry, "its name is no id of an endpoint");
  }
  return out;
}

void store_sync::reject_endpoint(const adapter::stored_object& entry,
                                 gateway::store_revision revision, const std::string& reason)
{
  const auto now = std::chrono::steady_clock::now();
  state_.apply_departures({{.id = endpoint_id(entry.name), .revision = revision}},
                          "unreadable entry", now);
  log_rejection(entry, reason);
}

void store_sync::log_rejection(const adapter::stored_object& entry, const std::string& reason)
{
  const auto [it, added] = logged_rejections_.try_emplace(hash64_of(entry.name), entry.revision);
  if (!added && it->second == entry.revision) {
    return; // already logged
  }
  it->second = entry.revision;
  state_.counters.count("endpoint_entries_rejected");
  state_.log.write(daemon::log_level::error, "endpoint rejected",
                   {{"endpoint", percent_encoded(entry.name)},
                    {"revision", to_string(entry.revision)},
                    {"reason", reason}});
  if (logged_rejections_.size() > max_remembered_rejections) {
    logged_rejections_.clear(); // some entries are logged again
  }
}

void store_sync::apply_endpoint_changes(const adapter::change_page& page)
{
  for (std::size_t i = 0; i < page.changes.size(); ++i) {
    apply_endpoint_change(page, i);
  }
}

void store_sync::apply_endpoint_change(const adapter::change_page& page, std::size_t i)
{
  const auto& c = page.changes[i];
  if (!is_endpoint(c.object)) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  const endpoint_id id(c.object.name);
  const bool was_in_use = state_.endpoints.is_in_use(id);
  if (c.deleted) {
    const gateway::endpoint_departure departure{.id = id, .revision = removal_revision(page, i)};
    state_.endpoints.remove(departure, now);
    state_.feed.on_departure(departure);
  } else {
    try {
      state_.apply_endpoint(adapter::decode_endpoint(c.object), now);
    } catch (const adapter::format_error& e) {
      reject_endpoint(c.object, c.object.revision, e.what());
    }
  }
  if (was_in_use && !state_.endpoints.is_in_use(id)) {
    state_.log.write(daemon::log_level::info, "endpoint leaves",
                     {{"endpoint", c.object.name},
                      {"revision", to_string(c.object.revision)},
                      {"entry", c.deleted ? "removed" : "leaving"},
                      {"view_age_ms", std::to_string(state_.feed.departures_age(now).count())}});
    state_.signal_urgent_update();
  }
}

asio::awaitable<void> store_sync::register_daemon()
{
  const boost::json::value entry = {{"address", to_string(state_.options.peers)}};
  const auto& name = state_.options.id.value();
  auto create = adapter::create_call(daemon_kind, name, entry);
  const auto reply = co_await store_.call(std::move(create), "create", store_call_timeout);
  if (reply.result != adapter::store_result::conflict) {
    co_return;
  }
  // An entry of a previous process under this id, perhaps with another address.
  try {
    const auto present = adapter::decode_object(reply.body, reply.era);
    if (present.spec != entry) {
      auto replace = adapter::replace_call(daemon_kind, name, entry, present.revision);
      co_await store_.call(std::move(replace), "replace", store_call_timeout);
    }
  } catch (const adapter::format_error& e) {
    state_.log.write(daemon::log_level::error, "store answer unreadable",
                     {{"kind", std::string(daemon_kind)}, {"reason", e.what()}});
  }
}

asio::awaitable<void> store_sync::follow_daemons()
{
  co_await register_daemon();
  for (unsigned failures = 0;;) {
    const auto all =
        co_await list_objects(store_, state_, daemon_kind, adapter::list_age::may_be_stale);
    std::vector<http::socket_address> registered;
    for (const auto& item : all.items) {
      try {
        const auto address = boost::json::value_to<std::string>(item.spec.at("address"));
        registered.push_back(http::parse_socket_address(address));
      } catch (const std::exception& e) {
        state_.log.write(daemon::log_level::error, "daemon entry unreadable",
                         {{"entry", percent_encoded(item.name)}, {"reason", e.what()}});
      }
    }
    if (all.is_complete) {
      state_.on_daemons_listed(registered, std::chrono::steady_clock::now());
    }
    const auto period = std::clamp(state_.call_period(daemon_lists_per_second),
                                   min_daemon_list_period, max_daemon_list_period);
    failures = all.is_complete ? 0 : failures + 1;
    co_await async_sleep(all.is_complete ? period : store_.backoff(failures));
  }
}

asio::awaitable<void> store_sync::deregister_daemon()
{
  auto message = adapter::remove_call(daemon_kind, state_.options.id.value());
  co_await store_.call(std::move(message), "remove", store_call_timeout);
}

} // namespace wisteriaflow::relay
