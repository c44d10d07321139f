#include "relay/origin_store.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include "relay/async_sleep.h"
#include "relay/origin_exchange.h"
#include "relay/store_list.h"
#include "relay/stored_object.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/gateway/stream_origin_codec.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

constexpr std::string_view origins_kind = "gateway-stream-origins";
constexpr milliseconds min_write_period{100};
// Streams that have ended are taken out of the object with this period if no other one starts.
constexpr milliseconds removal_period{5'000};
// Of the fleet. The store serves some hundred writes a second to all its users.
constexpr double writes_per_second = 300;
constexpr std::size_t max_readers = 16;
constexpr milliseconds min_read_period{1'000};
constexpr double reads_per_second = 8;                 // of all daemons that read
constexpr milliseconds large_fleet_read_period{5'000}; // there, only the coordinators read
constexpr milliseconds sweep_period{60'000};
// The record of the versions is complete this long after this daemon could have completed it.
constexpr milliseconds record_delay{5'000};
constexpr milliseconds start_check_period{20};

std::string name_of(const daemon_id& id, std::uint64_t incarnation)
{
  return "process-" + std::to_string(hash64_of(id.value(), incarnation));
}

// Whether `wanted` has a stream that `written` does not have.
bool has_new_streams(const gateway::origins_by_version& wanted,
                     const gateway::origins_by_version& written)
{
  return std::any_of(wanted.begin(), wanted.end(), [&written](const auto& it) {
    const auto present = written.find(it.first);
    return present == written.end() ||
           !std::includes(present->second.begin(), present->second.end(), it.second.begin(),
                          it.second.end());
  });
}

} // namespace

origin_store::origin_store(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store),
      own_name_(name_of(state.options.id, state.incarnation))
{
  store_.add_restore_callback([this] {
    written_.clear();
    own_revision_ = {};
    others_.clear();
    next_read_at_ = {};
  });
}

void origin_store::start()
{
  asio::co_spawn(context_, keep_own(), asio::detached);
  asio::co_spawn(context_, keep_others(), asio::detached);
}

void origin_store::on_started(gateway::started_stream stream)
{
  if (!open_.start(std::move(stream))) {
    state_.counters.count("stream_origins_not_stored");
  }
}

void origin_store::on_completed(const gateway::stream_id& stream)
{
  open_.complete(stream, std::chrono::steady_clock::now());
}

bool origin_store::is_reader(mono_time now) const
{
  return state_.peers.running_count(now) <= max_readers || state_.is_coordinator(now);
}

bool origin_store::reads_for_others(mono_time now) const
{
  return state_.peers.running_count(now) > max_readers && state_.is_coordinator(now);
}

gateway::origins_by_version origin_store::own_origins(mono_time now) const
{
  std::map<std::vector<std::string>, bool> needs_origins; // by services
  return open_.origins([&](const gateway::started_stream& stream) {
    const auto [it, is_new] = needs_origins.try_emplace(stream.services);
    if (is_new) {
      const auto& versions = state_.endpoints.versions();
      const bool is_record_complete =
          state_.versions_known_since <= now - stream.memory - record_delay;
      it->second = !is_record_complete ||
                   !is_only_version(versions.in_use(stream.services, now - stream.memory));
    }
    return it->second;
  });
}

asio::awaitable<void> origin_store::keep_own()
{
  for (unsigned failures = 0;;) {
    const auto now = std::chrono::steady_clock::now();
    open_.forget_expired(now);
    found_.forget_expired(now);
    auto wanted = own_origins(now);
    const bool is_due = has_new_streams(wanted, written_) ||
                        (wanted != written_ && now >= written_at_ + removal_period);
    bool succeeded = true;
    if (is_due) {
      written_at_ = now;
      succeeded = co_await write(std::move(wanted));
    }
    failures = succeeded ? 0 : failures + 1;
    const auto period = std::max(min_write_period, state_.call_period(writes_per_second));
    co_await async_sleep(succeeded ? period : std::max(period, store_.backoff(failures)));
  }
}

asio::awaitable<bool> origin_store::write(gateway::origins_by_version origins)
{
  object_write change{.kind = origins_kind,
                      .name = own_name_,
                      .spec = gateway::encode_stored_origins(origins),
                      .last_revision = own_revision_};
  state_.counters.count("stored_origin_bytes", {}, boost::json::serialize(change.spec).size());
  change.merge = [spec = change.spec](const adapter::stored_object&) {
    return std::optional(spec);
  };
  const auto revision = co_await create_or_replace(store_, state_, std::move(change));
  const bool written = revision.has_value();
  own_revision_ = revision.value_or(gateway::store_revision());
  state_.counters.count("stored_origin_writes", {{"done", written ? "yes" : "no"}});
  if (written) {
    written_ = std::move(origins);
  }
  co_return written;
}

asio::awaitable<void> origin_store::read(mono_time deadline)
{
  if (reading_ || std::chrono::steady_clock::now() >= next_read_at_) {
    const auto joined = join_reading();
    co_await joined->done.wait_until(context_, deadline);
  }
}

std::shared_ptr<origin_store::reading> origin_store::join_reading()
{
  if (!reading_) {
    reading_ = std::make_shared<reading>();
    asio::co_spawn(context_, read_into(reading_), asio::detached);
  }
  return reading_;
}

// Only the coroutine that join_reading() starts ends the reading, whoever else waits for it.
asio::awaitable<void> origin_store::read_into(std::shared_ptr<reading> into)
{
  const bool is_large = state_.peers.running_count(std::chrono::steady_clock::now()) > max_readers;
  const auto period = is_large ? large_fleet_read_period : state_.call_period(reads_per_second);
  next_read_at_ = std::chrono::steady_clock::now() + std::max(period, min_read_period);
  into->succeeded = co_await read_all();
  reading_.reset();
  into->done.notify();
}

asio::awaitable<bool> origin_store::read_to_end()
{
  const auto joined = join_reading();
  co_await joined->done.wait_until(context_, mono_time::max());
  co_return joined->succeeded;
}

asio::awaitable<bool> origin_store::read_all()
{
  const auto listing =
      co_await list_objects(store_, state_, origins_kind, adapter::list_age::current);
  const auto now = std::chrono::steady_clock::now();
  std::size_t streams = 0;
  std::map<std::string, foreign_object> found;
  for (const auto& item : listing.items) {
    if (item.name == own_name_) {
      continue;
    }
    const auto known = others_.find(item.name);
    if (known != others_.end() && known->second.revision == item.revision) {
      found.insert(*known);
      continue;
    }
    streams += merge(item, now);
    found[item.name] = {.revision = item.revision, .unchanged_since = now};
  }
  if (listing.is_complete) {
    others_ = std::move(found);
  }
  state_.log.write(daemon::log_level::info, "stored origins read",
                   {{"objects", std::to_string(listing.items.size())},
                    {"new_streams", std::to_string(streams)},
                    {"complete", listing.is_complete ? "yes" : "no"},
                    {"revision", to_string(listing.revision)}});
  co_return listing.is_complete;
}

// The origins are kept as long as those of a stream that starts now: how long ago they were written
// is not known.
std::size_t origin_store::merge(const adapter::stored_object& object, mono_time now)
{
  const auto memory = longest_stream_memory(state_);
  std::size_t n = 0;
  try {
    for (const auto& [version, streams] : gateway::decode_stored_origins(object.spec)) {
      state_.endpoints.on_version_stated(version, now);
      for (const auto& id : streams) {
        const gateway::stream_origin origin{
            .stream = id, .version = version, .expires_at = now + memory};
        if (!found_.record(origin, now)) {
          state_.counters.count("stored_origins_dropped");
        }
        ++n;
      }
    }
  } catch (const gateway::stream_origin_error& e) {
    state_.log.write(daemon::log_level::error, "stored origins unreadable",
                     {{"object", object.name}, {"reason", e.what()}});
  }
  return n;
}

bool origin_store::has_several_versions(mono_time now) const
{
  std::set<std::string> services;
  const auto in_use = state_.endpoints.versions().in_use(now - longest_stream_memory(state_));
  return std::any_of(in_use.begin(), in_use.end(),
                     [&](const auto& v) { return !services.insert(v.service).second; });
}

asio::awaitable<void> origin_store::keep_others()
{
  while (!state_.quota.knows_fleet() || !state_.configuration()) {
    co_await async_sleep(start_check_period);
  }
  for (unsigned failures = 0; is_reader(std::chrono::steady_clock::now());) {
    if (co_await read_to_end()) {
      break;
    }
    co_await async_sleep(store_.backoff(++failures));
  }
  for (;;) {
    co_await async_sleep(sweep_period);
    const auto now = std::chrono::steady_clock::now();
    if (state_.is_leader() && (!others_.empty() || has_several_versions(now))) {
      co_await remove_abandoned();
    }
  }
}

// Objects of processes that have ended are removed when their streams cannot be resumed any more.
asio::awaitable<void> origin_store::remove_abandoned()
{
  if (reading_ || !co_await read_to_end()) {
    co_return;
  }
  const auto now = std::chrono::steady_clock::now();
  std::set<std::string> live;
  for (const auto& peer : state_.peers.live(now)) {
    live.insert(name_of(peer.id, peer.incarnation));
  }
  const auto expired = now - longest_stream_memory(state_);
  for (const auto& [name, object] : std::map(others_)) {
    if (live.contains(name) || object.unchanged_since > expired) {
      continue;
    }
    auto removed = name;
    if (co_await remove_object(store_, origins_kind, std::move(removed))) {
      others_.erase(name);
    }
  }
}

} // namespace wisteriaflow::relay
