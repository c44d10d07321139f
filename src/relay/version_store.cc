#include "relay/version_store.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "errors.h"
#include "relay/async_sleep.h"
#include "relay/origin_exchange.h"
#include "relay/store_list.h"
#include "relay/stored_object.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/gateway/stream_origin_codec.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view versions_kind = "gateway-recorded-versions";
constexpr milliseconds poll_period{200};
// Until the versions that serve when this daemon starts are recorded.
constexpr milliseconds start_poll_period{20};
// A daemon that cannot learn what is recorded serves the other calls after this time.
constexpr milliseconds max_start_delay{2'000};
constexpr milliseconds min_version_memory{60'000};
// A daemon looks anew whether a version is recorded that has had no endpoint for this long. It must
// be shorter than min_version_memory, after which the version is removed from the store.
constexpr milliseconds recorded_memory{30'000};
// Of the fleet, while a version is not known to be recorded.
constexpr double questions_per_second = 300;
// After this many questions without success a daemon writes the record itself: the coordinators may
// be the ones that the store does not serve.
constexpr unsigned patience = 8;
constexpr unsigned questions_per_store_read = 3;
constexpr milliseconds peer_timeout{250};
// Of the fleet, to infer the origins of streams.
constexpr double readings_per_second = 500;
// A caller waits for the reading.
constexpr milliseconds reading_timeout{150};

// Names of objects are limited to few characters, names of services are not.
std::string object_name(const std::string& service)
{
  return "service-" + std::to_string(hash64_of(service));
}

// A version whose last endpoint has gone stays in the store for this long.
milliseconds version_memory(const fleet_state& state)
{
  return std::max(min_version_memory, longest_stream_memory(state));
}

json::value encode(const std::string& service, const std::set<std::string>& versions,
                   std::optional<std::uint64_t> complete_in)
{
  json::array list;
  for (const auto& v : versions) {
    list.emplace_back(v);
  }
  json::object out{{"service", service}, {"versions", std::move(list)}};
  if (complete_in) {
    out["complete_in_era"] = *complete_in;
  }
  return out;
}

} // namespace

version_store::version_store(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store),
      peer_client_(context, {.connect_timeout = peer_timeout, .retry_stale_get = false})
{
  store_.add_restore_callback([this] {
    stored_.clear();
    readings_.clear();
    is_read_ = false;
  });
}

void version_store::start()
{
  asio::co_spawn(context_, run(), asio::detached);
}

bool version_store::has_missing(mono_time now) const
{
  return !state_.recorded.missing(state_.endpoints.versions().in_use(now)).empty();
}

void version_store::update_knowledge(mono_time now)
{
  state_.recorded.retain(state_.endpoints.versions().in_use(now - recorded_memory));
  if (!state_.endpoints.has_list()) {
    return;
  }
  state_.versions_known_since = std::min(state_.versions_known_since, now);
  if (!stops_waiting_at_) {
    stops_waiting_at_ = now + max_start_delay;
  }
  if (!has_missing(now) || now >= *stops_waiting_at_) {
    state_.serves_recorded_versions = true;
  }
}

asio::awaitable<void> version_store::run()
{
  for (unsigned failures = 0;;) {
    const auto now = std::chrono::steady_clock::now();
    update_knowledge(now);
    const bool is_incomplete = has_missing(now);
    bool succeeded = true;
    if (!is_read_) {
      succeeded = co_await read_all();
    }
    // The coordinators are computed from all live peers, so this is checked last.
    const bool may_write = succeeded && is_read_ && wanted() != stored_ &&
                           (questions_ >= patience || state_.is_coordinator(now));
    if (may_write) {
      succeeded = co_await write_changes();
    }
    if (is_incomplete && (!may_write || !succeeded)) {
      succeeded = co_await learn();
    }
    failures = succeeded ? 0 : failures + 1;
    auto pause = state_.serves_recorded_versions ? poll_period : start_poll_period;
    if (is_incomplete && !may_write) {
      pause = std::max(poll_period, state_.call_period(questions_per_second));
    }
    co_await async_sleep(succeeded ? pause : std::max(pause, store_.backoff(failures)));
  }
}

asio::awaitable<bool> version_store::learn()
{
  const auto peers = state_.other_coordinators(std::chrono::steady_clock::now());
  const auto n = questions_++;
  bool succeeded = false;
  if (!peers.empty() && n % questions_per_store_read + 1 < questions_per_store_read) {
    auto peer = peers[n % peers.size()];
    succeeded = co_await ask_peer(std::move(peer));
  } else {
    succeeded = co_await read_all();
  }
  if (!has_missing(std::chrono::steady_clock::now())) {
    questions_ = 0;
  }
  co_return succeeded;
}

asio::awaitable<bool> version_store::ask_peer(http::socket_address peer)
{
  http::request message{.target = std::string(recorded_versions_target)};
  try {
    const auto deadline = std::chrono::steady_clock::now() + peer_timeout;
    const auto reply = co_await peer_client_.call(peer, std::move(message), deadline);
    if (reply.status != http::status::ok) {
      co_return false;
    }
    const auto versions = gateway::decode_versions(reply.body);
    for (const auto& v : versions) {
      state_.endpoints.on_version_stated(v, std::chrono::steady_clock::now());
    }
    state_.recorded.add(versions);
    co_return true;
  } catch (const error& e) {
    state_.counters.count("recorded_version_questions_failed");
  }
  co_return false;
}

asio::awaitable<void> version_store::serve_recorded(http::request /*request*/,
                                                    http::response_writer& writer)
{
  http::response out{.status = http::status::ok,
                     .body = gateway::encode_versions(state_.recorded.all())};
  co_await writer.send(std::move(out));
}

asio::awaitable<bool> version_store::read_all()
{
  const auto listing =
      co_await list_objects(store_, state_, versions_kind, adapter::list_age::current);
  bool is_trusted = listing.is_complete;
  for (const auto& item : listing.items) {
    const auto stated = merge(item);
    is_trusted = is_trusted && stated && is_current(*stated);
  }
  if (!listing.is_complete) {
    co_return false;
  }
  if (is_trusted) {
    state_.versions_known_since = mono_time::min();
  }
  is_read_ = true;
  state_.log.write(daemon::log_level::info, "recorded versions read",
                   {{"services", std::to_string(listing.items.size())},
                    {"complete", is_trusted ? "yes" : "no"},
                    {"revision", to_string(listing.revision)}});
  co_return true;
}

std::optional<version_store::service_versions>
version_store::merge(const adapter::stored_object& object)
{
  auto stated = decode(object);
  if (stated) {
    stored_[stated->service] = *stated;
    for (const auto& v : stated->versions) {
      const gateway::service_version version{.service = stated->service, .version = v};
      state_.endpoints.on_version_stated(version, std::chrono::steady_clock::now());
      state_.recorded.add(version);
    }
  }
  return stated;
}

std::optional<version_store::service_versions>
version_store::decode(const adapter::stored_object& object)
{
  try {
    service_versions out{.service = json::value_to<std::string>(object.spec.at("service"))};
    for (const auto& v : object.spec.at("versions").as_array()) {
      out.versions.insert(json::value_to<std::string>(v));
    }
    if (const auto* era = object.spec.as_object().if_contains("complete_in_era")) {
      out.complete_in = era->to_number<std::uint64_t>();
    }
    return out;
  } catch (const std::exception& e) {
    state_.log.write(daemon::log_level::error, "stored versions unreadable",
                     {{"object", object.name}, {"reason", e.what()}});
    return std::nullopt;
  }
}

std::optional<std::uint64_t> version_store::complete_in() const
{
  const auto oldest_stream = std::chrono::steady_clock::now() - version_memory(state_);
  return state_.versions_known_since <= oldest_stream ? std::optional(store_.era()) : std::nullopt;
}

version_store::versions_by_service version_store::wanted() const
{
  const auto since = std::chrono::steady_clock::now() - version_memory(state_);
  versions_by_service out;
  for (const auto& v : state_.endpoints.versions().in_use(since)) {
    auto& stated = out[v.service];
    stated.service = v.service;
    stated.versions.insert(v.version);
  }
  const auto era = complete_in();
  for (auto& [service, stated] : out) {
    const auto it = stored_.find(service);
    stated.complete_in = era || it == stored_.end() ? era : it->second.complete_in;
  }
  // An object stays without versions: if it were removed, the call could be executed after the
  // service has come back.
  for (const auto& [service, stated] : stored_) {
    out.try_emplace(service, service_versions{.service = service,
                                              .complete_in = era ? era : stated.complete_in});
  }
  return out;
}

asio::awaitable<bool> version_store::write_changes()
{
  const auto all = wanted();
  for (const auto& [service, versions] : all) {
    const auto it = stored_.find(service);
    const bool is_stored = it != stored_.end() && it->second == versions;
    if (!is_stored && !co_await write(versions)) {
      co_return false;
    }
  }
  co_return true;
}

// What another coordinator has stored is kept: it may know of a version that has gone.
asio::awaitable<bool> version_store::write(service_versions wanted)
{
  const auto era = store_.era();
  object_write change{.kind = versions_kind,
                      .name = object_name(wanted.service),
                      .spec = encode(wanted.service, wanted.versions, wanted.complete_in)};
  change.merge = [&](const adapter::stored_object& present) -> std::optional<json::value> {
    const auto stated = decode(present);
    if (stated && *stated != stored_[wanted.service]) {
      merge(present);
      wanted.versions.insert(stated->versions.begin(), stated->versions.end());
      if (is_current(*stated)) {
        wanted.complete_in = stated->complete_in;
      }
    }
    if (stated && *stated == wanted) {
      return std::nullopt;
    }
    return encode(wanted.service, wanted.versions, wanted.complete_in);
  };
  const auto written = co_await create_or_replace(store_, state_, std::move(change));
  if (!written || store_.era() != era) {
    co_return false;
  }
  for (const auto& v : wanted.versions) {
    const gateway::service_version version{.service = wanted.service, .version = v};
    state_.recorded.add(version);
  }
  state_.log.write(daemon::log_level::info, "versions recorded",
                   {{"service", wanted.service},
                    {"versions", std::to_string(wanted.versions.size())},
                    {"complete", wanted.complete_in ? "yes" : "no"}});
  const auto service = wanted.service;
  stored_[service] = std::move(wanted);
  co_return true;
}

asio::awaitable<void> version_store::read_object(std::string service, std::shared_ptr<reading> into)
{
  auto message = adapter::get_call(versions_kind, object_name(service));
  const auto reply = co_await store_.call(std::move(message), "get", reading_timeout);
  into->is_missing = reply.result == adapter::store_result::missing;
  if (reply.result == adapter::store_result::done) {
    try {
      const auto stated = decode(adapter::decode_object(reply.body, reply.era));
      if (stated && is_current(*stated)) {
        into->found = stated;
      }
    } catch (const adapter::format_error& e) {
      state_.log.write(daemon::log_level::error, "store answer unreadable",
                       {{"kind", std::string(versions_kind)}, {"reason", e.what()}});
    }
  }
  into->is_done = true;
  into->done.cancel();
}

// The readings of one service are shared: one that began shortly before the question counts, since
// a version that has appeared since then is known to the daemons that are in touch.
asio::awaitable<std::optional<gateway::service_version_set>>
version_store::read_recorded(std::vector<std::string> services)
{
  const auto now = std::chrono::steady_clock::now();
  const auto max_age = state_.call_period(readings_per_second);
  std::vector<std::shared_ptr<reading>> awaited;
  for (const auto& service : services) {
    auto& latest = readings_[service];
    if (!latest || latest->began_at + max_age < now) {
      latest = std::make_shared<reading>(context_);
      latest->began_at = now;
      asio::co_spawn(context_, read_object(service, latest), asio::detached);
    }
    awaited.push_back(latest);
  }
  gateway::service_version_set out;
  for (const auto& it : awaited) {
    while (!it->is_done) {
      boost::system::error_code ec;
      it->done.expires_at(mono_time::max());
      co_await it->done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (it->found) {
      for (const auto& v : it->found->versions) {
        out.insert({.service = it->found->service, .version = v});
      }
    } else if (!it->is_missing || !complete_in()) {
      co_return std::nullopt;
    }
  }
  co_return out;
}

} // namespace wisteriaflow::relay
