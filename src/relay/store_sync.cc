#include "relay/store_sync.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "documents.h"
#include "errors.h"
#include "relay/pause.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// The kind under which the daemons enter themselves.
constexpr std::string_view daemon_kind = "gateway-daemons";

// A watch for the configuration answers at once when there is a new one; so long it waits for one.
// That of a lead is short enough that one which hangs in a silent connection is noticed well within
// the time in which a configuration must be in force. The others may hang longer: peers tell them.
constexpr milliseconds lead_configuration_wait{2'000};
constexpr milliseconds longest_configuration_wait{28'000};
constexpr double configuration_calls_per_second = 4; // of the fleet without its leads
// What a watch may take beyond its wait.
constexpr milliseconds watch_slack{700};
// Heartbeats raise no revision, so most readings find no change; one that comes soon saves a call.
constexpr milliseconds endpoint_wait{200};
// The shortest pause before it is looked again whether a reading is due: a peer may put it off.
constexpr milliseconds endpoint_check_period{50};
// Daemons are found through peers; the store only helps those that know none.
constexpr milliseconds shortest_daemon_list_period{10'000};
constexpr milliseconds longest_daemon_list_period{60'000};
constexpr double daemon_lists_per_second = 2; // of the fleet
// The store bounds an answer, to some 500 objects. One with so many changes may not hold all: while
// hundreds of endpoints leave, each tells anew with every heartbeat how long it stays.
constexpr std::size_t changes_of_a_full_page = 100;
// Times that the changes since a list are asked for before the list counts as too old.
constexpr unsigned most_catch_up_tries = 5;
// Entries of other writers that are remembered as logged.
constexpr std::size_t most_rejected = 1'000;
// Lapsed entries are back within two seconds of the store's return.
constexpr milliseconds lapse_hold{2'300};

// The revision at which the entry of change `i`, a removal, was gone. What the page is read up to
// would do, but where the same entry is there again within the page: a server that ends and starts
// again under its id is not to be taken for gone.
std::uint64_t removed_at(const adapter::change_page& page, std::size_t i)
{
  const auto& name = page.changes[i].object.name;
  for (auto next = i + 1; next < page.changes.size(); ++next) {
    const auto& later = page.changes[next];
    if (!later.deleted && later.object.name == name) {
      return std::min(page.revision, later.object.revision - 1);
    }
  }
  return page.revision;
}

} // namespace

store_sync::store_sync(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store)
{
  store_.on_return([this] { on_store_return(); });
}

void store_sync::start()
{
  asio::co_spawn(context_, follow_configuration(), asio::detached);
  asio::co_spawn(context_, follow_endpoints(), asio::detached);
  asio::co_spawn(context_, follow_daemons(), asio::detached);
}

void store_sync::on_store_return()
{
  state_.endpoints.hold_removals_until(std::chrono::steady_clock::now() + lapse_hold);
}

asio::awaitable<void> store_sync::follow_configuration()
{
  for (unsigned failures = 0;;) {
    const auto all = co_await list_objects(store_, state_, adapter::configuration_kind,
                                           adapter::list_age::current);
    for (const auto& item : all.items) {
      if (item.name == adapter::configuration_name) {
        state_.offer_configuration(item.spec, "list");
      }
    }
    if (all.whole) {
      failures = 0;
      state_.note_configuration_read(std::chrono::steady_clock::now());
      co_await watch_configuration(all.revision);
    }
    co_await async_sleep(store_.backoff(++failures));
  }
}

asio::awaitable<store_sync::change_reading>
store_sync::read_changes(std::string_view kind, std::uint64_t revision, milliseconds wait)
{
  auto message = adapter::watch_call(kind, revision, wait);
  const auto reply = co_await store_.call(std::move(message), "watch", wait + watch_slack);
  if (reply.result != adapter::store_result::done) {
    co_return change_reading{.result = reply.result};
  }
  try {
    change_reading out{.result = reply.result, .page = adapter::decode_changes(reply.body)};
    note_nameless(state_, kind, out.page.nameless);
    co_return out;
  } catch (const adapter::format_error& e) {
    state_.log.write(daemon::log_level::error, "store answer unreadable",
                     {{"kind", std::string(kind)}, {"reason", e.what()}});
    // Begins with a new list, like after a gap.
    co_return change_reading{.result = adapter::store_result::expired};
  }
}

milliseconds store_sync::configuration_wait() const
{
  if (state_.leads(std::chrono::steady_clock::now())) {
    return lead_configuration_wait;
  }
  return std::clamp(state_.call_period(configuration_calls_per_second), lead_configuration_wait,
                    longest_configuration_wait);
}

asio::awaitable<void> store_sync::watch_configuration(std::uint64_t revision)
{
  for (unsigned failures = 0;;) {
    const auto wait = configuration_wait();
    const auto read = co_await read_changes(adapter::configuration_kind, revision, wait);
    if (read.result == adapter::store_result::expired) {
      co_return;
    }
    if (read.result != adapter::store_result::done) {
      co_await async_sleep(store_.backoff(++failures));
      continue; // a whole list is only for a gap
    }
    failures = 0;
    revision = read.page.revision;
    for (const auto& c : read.page.changes) {
      if (!c.deleted && c.object.name == adapter::configuration_name) {
        state_.offer_configuration(c.object.spec, "watch");
      }
    }
    state_.note_configuration_read(std::chrono::steady_clock::now());
  }
}

asio::awaitable<void> store_sync::follow_endpoints()
{
  // A stale list does not count towards the store's rate, and what it lacks is read after it. Where
  // the history that this takes is gone, the next list is a current one.
  auto age = adapter::list_age::may_be_stale;
  for (unsigned failures = 0;;) {
    const auto all = co_await list_objects(store_, state_, adapter::endpoint_kind, age);
    if (all.whole) {
      const bool caught_up = co_await take_list_and_changes(all);
      age = caught_up ? adapter::list_age::may_be_stale : adapter::list_age::current;
      if (caught_up) {
        failures = 0;
        co_await watch_endpoints();
      }
    }
    co_await async_sleep(store_.backoff(++failures));
  }
}

asio::awaitable<bool> store_sync::take_list_and_changes(const listing& all)
{
  // Nothing of the list is used before: an endpoint may have left since it was true.
  std::vector<adapter::change_page> pages;
  auto after = all.revision;
  for (unsigned failures = 0; failures < most_catch_up_tries;) {
    const auto asked_at = std::chrono::steady_clock::now();
    auto read = co_await read_changes(adapter::endpoint_kind, after, milliseconds{0});
    if (read.result == adapter::store_result::expired) {
      co_return false;
    }
    if (read.result != adapter::store_result::done) {
      co_await async_sleep(store_.backoff(++failures));
      continue;
    }
    after = read.page.revision;
    const bool is_last = read.page.changes.size() < changes_of_a_full_page;
    pages.push_back(std::move(read.page));
    if (is_last) {
      take_endpoints(all);
      state_.feed.on_list(state_.endpoints.all(), all.revision, asked_at);
      for (const auto& page : pages) {
        take_endpoint_changes(page);
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
    const auto read = co_await read_changes(adapter::endpoint_kind, after, endpoint_wait);
    if (read.result == adapter::store_result::expired) {
      co_return;
    }
    if (read.result != adapter::store_result::done) {
      co_await async_sleep(store_.backoff(++failures));
      continue;
    }
    failures = 0;
    take_read(read.page, asked_at);
  }
}

void store_sync::take_read(const adapter::change_page& page, mono_time asked_at)
{
  take_endpoint_changes(page);
  if (page.changes.size() < changes_of_a_full_page) {
    state_.feed.on_read(page.revision, asked_at);
  } else {
    state_.feed.on_partial_read(page.revision);
  }
}

void store_sync::take_endpoints(const listing& all)
{
  std::vector<gateway::endpoint_record> records;
  for (const auto& item : all.items) {
    try {
      records.push_back(adapter::decode_endpoint(item));
    } catch (const adapter::format_error& e) {
      reject(item, all.revision, e.what());
    }
  }
  state_.endpoints.replace_all(records, all.revision, std::chrono::steady_clock::now());
  for (const auto& r : records) {
    state_.feed.update(r);
  }
  state_.log.write(
      daemon::log_level::info, "endpoints listed",
      {{"count", std::to_string(records.size())}, {"revision", std::to_string(all.revision)}});
}

void store_sync::reject(const adapter::stored_object& entry, std::uint64_t revision,
                        const std::string& reason)
{
  const auto now = std::chrono::steady_clock::now();
  state_.take_departures({{.id = endpoint_id(entry.name), .revision = revision}}, now);
  const auto [it, added] = rejected_.try_emplace(entry.name, entry.revision);
  if (!added && it->second == entry.revision) {
    return; // told already
  }
  it->second = entry.revision;
  state_.counters.count("endpoint_entries_rejected");
  state_.log.write(
      daemon::log_level::error, "endpoint rejected",
      {{"endpoint", entry.name}, {"revision", std::to_string(entry.revision)}, {"reason", reason}});
  if (rejected_.size() > most_rejected) {
    rejected_.clear(); // some are told once more
  }
}

void store_sync::take_endpoint_changes(const adapter::change_page& page)
{
  for (std::size_t i = 0; i < page.changes.size(); ++i) {
    take_endpoint_change(page, i);
  }
}

void store_sync::take_endpoint_change(const adapter::change_page& page, std::size_t i)
{
  const auto& c = page.changes[i];
  const auto now = std::chrono::steady_clock::now();
  const auto before = state_.endpoints.departures(now).size();
  if (c.deleted) {
    const gateway::endpoint_departure gone{.id = endpoint_id(c.object.name),
                                           .revision = removed_at(page, i)};
    state_.endpoints.remove(gone, now);
    state_.feed.on_departure(gone);
  } else {
    try {
      state_.take_endpoint(adapter::decode_endpoint(c.object), now);
    } catch (const adapter::format_error& e) {
      reject(c.object, c.object.revision, e.what());
    }
  }
  if (state_.endpoints.departures(now).size() != before) {
    state_.log.write(daemon::log_level::info, "endpoint leaves",
                     {{"endpoint", c.object.name},
                      {"revision", std::to_string(c.object.revision)},
                      {"entry", c.deleted ? "removed" : "leaving"}});
    state_.announce_news();
  }
}

asio::awaitable<void> store_sync::enter()
{
  const boost::json::value entry = {{"address", to_string(state_.options.peers)}};
  const auto& name = state_.options.id.value();
  auto create = adapter::create_call(daemon_kind, name, entry);
  const auto reply = co_await store_.call(std::move(create), "create", store_call_timeout);
  if (reply.result != adapter::store_result::conflict) {
    co_return;
  }
  // A predecessor's entry, perhaps at another address.
  try {
    const auto present = adapter::decode_object(reply.body);
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
  co_await enter();
  for (unsigned failures = 0;;) {
    const auto all =
        co_await list_objects(store_, state_, daemon_kind, adapter::list_age::may_be_stale);
    for (const auto& item : all.items) {
      try {
        const auto address = boost::json::value_to<std::string>(item.spec.at("address"));
        state_.peers.add_address(http::parse_socket_address(address));
      } catch (const std::exception& e) {
        state_.log.write(daemon::log_level::error, "daemon entry unreadable",
                         {{"entry", item.name}, {"reason", e.what()}});
      }
    }
    const auto period = std::clamp(state_.call_period(daemon_lists_per_second),
                                   shortest_daemon_list_period, longest_daemon_list_period);
    failures = all.whole ? 0 : failures + 1;
    co_await async_sleep(all.whole ? period : store_.backoff(failures));
  }
}

asio::awaitable<void> store_sync::withdraw()
{
  auto message = adapter::remove_call(daemon_kind, state_.options.id.value());
  co_await store_.call(std::move(message), "remove", store_call_timeout);
}

} // namespace wisteriaflow::relay
