#include "relay/version_store.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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
// The object which states that the store has one for each service that ever served.
constexpr std::string_view marker_name = "all-services";
constexpr milliseconds poll_period{200};
// Until the versions that serve when this daemon starts are recorded.
constexpr milliseconds start_poll_period{20};
// A daemon that cannot learn what is recorded serves the other calls after this time.
constexpr milliseconds max_start_delay{2'000};
// A version without endpoints is retired after this time or after the memory of the streams, and
// removed after the same time again.
constexpr milliseconds min_version_memory{60'000};
// A daemon looks anew whether a version is recorded that has had no endpoint for this long. It must
// be shorter than the time for which a version is retired.
constexpr milliseconds recorded_memory{30'000};
// While another version serves, a new one is recorded this long after it has appeared: the daemons
// store the origins of their open streams in this time. Until then, only one version is recorded.
constexpr milliseconds second_version_delay{1'000};
// The same after the start, when callers resume what the end of all daemons has cut.
constexpr milliseconds restart_delay{5'000};
// Of the fleet, while a version is not known to be recorded.
constexpr double questions_per_second = 300;
// After this many questions without success a daemon writes the record itself: the coordinators may
// be the ones that the store does not serve.
constexpr unsigned patience = 8;
constexpr unsigned questions_per_store_read = 3;
constexpr milliseconds peer_timeout{250};
// Of the fleet, to infer the origins of streams.
constexpr double readings_per_second = 1'000;
constexpr milliseconds max_reading_period{100}; // callers wait for a reading

constexpr std::string_view name_prefix = "service-";

// Names of objects are limited to few characters, names of services are not.
std::string object_name(const std::string& service)
{
  return std::string(name_prefix) + std::to_string(hash64_of(service));
}

milliseconds version_memory(const fleet_state& state)
{
  return std::max(min_version_memory, longest_stream_memory(state));
}

json::array to_json(const std::set<std::string>& versions)
{
  json::array out;
  for (const auto& v : versions) {
    out.emplace_back(v);
  }
  return out;
}

std::set<std::string> to_set(const json::value& versions)
{
  std::set<std::string> out;
  for (const auto& v : versions.as_array()) {
    out.insert(json::value_to<std::string>(v));
  }
  return out;
}

std::optional<std::uint64_t> era_in(const json::value& spec)
{
  const auto* era = spec.as_object().if_contains("complete_in_era");
  return era == nullptr ? std::nullopt : std::optional(era->to_number<std::uint64_t>());
}

} // namespace

version_store::version_store(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store),
      peer_client_(context, {.connect_timeout = peer_timeout, .retry_stale_get = false})
{
  store_.add_restore_callback([this] {
    stored_.clear();
    all_services_in_.reset();
    is_read_ = false;
  });
}

void version_store::start()
{
  asio::co_spawn(context_, run(), asio::detached);
}

bool version_store::has_missing(mono_time now) const
{
  const auto missing = state_.recorded.missing(serving(now));
  return std::any_of(missing.begin(), missing.end(),
                     [&](const auto& v) { return !is_deferred(v, now); });
}

bool version_store::is_deferred(const gateway::service_version& version, mono_time now) const
{
  const auto present = state_.endpoints.versions().in_use({version.service}, now);
  const bool is_alone = std::none_of(present.begin(), present.end(),
                                     [this](const auto& v) { return state_.recorded.contains(v); });
  const auto known_since = state_.endpoints.versions().known_since(version);
  if (is_alone || !known_since || state_.recorded.contains(version)) {
    return false;
  }
  return now < *known_since + second_version_delay ||
         (first_list_at_ && now < *first_list_at_ + restart_delay);
}

gateway::service_version_set version_store::serving(mono_time since) const
{
  return state_.endpoints.versions().in_use(state_.stream_services(), since);
}

void version_store::update_knowledge(mono_time now)
{
  state_.recorded.retain(state_.endpoints.versions().in_use(now - recorded_memory));
  if (!state_.endpoints.has_list()) {
    return;
  }
  state_.versions_known_since = std::min(state_.versions_known_since, now);
  const bool is_view_current = state_.has_current_view(now);
  if (is_view_current && std::exchange(has_view_gap_, false)) {
    state_.versions_known_since = now; // others may have come and gone in between
    is_read_ = false;
  }
  has_view_gap_ = has_view_gap_ || (!is_view_current && state_.feed.revision().number > 0);
  if (!first_list_at_) {
    first_list_at_ = now;
  }
  if (!has_missing(now)) {
    questions_ = 0;
  }
  if (!has_missing(now) || now >= *first_list_at_ + max_start_delay) {
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
    const bool may_write =
        succeeded && is_read_ && (questions_ >= patience || state_.is_coordinator(now));
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
    state_.recorded.add(gateway::decode_versions(reply.body));
    co_return true;
  } catch (const error& e) {
    state_.counters.count("recorded_version_questions_failed");
  }
  co_return false;
}

// Only versions that have endpoints are stated: what this daemon knows of others may be old.
asio::awaitable<void> version_store::serve_recorded(http::request /*request*/,
                                                    http::response_writer& writer)
{
  const auto in_use = state_.endpoints.versions().in_use(std::chrono::steady_clock::now());
  gateway::service_version_set stated;
  for (const auto& v : in_use) {
    if (state_.recorded.contains(v)) {
      stated.insert(v);
    }
  }
  http::response out{.status = http::status::ok, .body = gateway::encode_versions(stated)};
  co_await writer.send(std::move(out));
}

asio::awaitable<bool> version_store::read_all()
{
  const auto listing =
      co_await list_objects(store_, state_, versions_kind, adapter::list_age::current);
  const bool is_complete = take_over(listing);
  if (!listing.is_complete) {
    co_return false;
  }
  if (is_complete) {
    state_.versions_known_since = mono_time::min();
  }
  is_read_ = true;
  state_.log.write(daemon::log_level::info, "recorded versions read",
                   {{"objects", std::to_string(listing.items.size())},
                    {"complete", is_complete ? "yes" : "no"},
                    {"revision", to_string(listing.revision)}});
  co_return true;
}

bool version_store::take_over(const listing& all)
{
  bool is_complete = all.is_complete;
  std::optional<std::uint64_t> marker;
  for (const auto& item : all.items) {
    if (item.name == marker_name) {
      marker = item.spec.is_object() ? era_in(item.spec) : std::nullopt;
    } else if (item.name.starts_with(name_prefix)) { // else another program's
      is_complete = take_over(item) && is_complete;
    }
  }
  if (all.is_complete) {
    all_services_in_ = marker;
  }
  return is_complete && is_current(marker) &&
         std::all_of(stored_.begin(), stored_.end(),
                     [this](const auto& it) { return is_current(it.second.content.complete_in); });
}

bool version_store::take_over(const adapter::stored_object& object)
{
  const auto now = std::chrono::steady_clock::now();
  const auto stated = decode(object);
  if (!stated) {
    return false;
  }
  auto& known = stored_[stated->service];
  if (known.revision != object.revision) {
    known = {.content = *stated, .revision = object.revision, .unchanged_since = now};
  }
  for (const auto& v : stated->versions) {
    const gateway::service_version version{.service = stated->service, .version = v};
    state_.endpoints.on_version_stated(version, now);
  }
  state_.recorded.set(stated->service, stated->versions);
  return true;
}

std::optional<version_store::service_versions>
version_store::decode(const adapter::stored_object& object)
{
  try {
    service_versions out{.service = json::value_to<std::string>(object.spec.at("service")),
                         .versions = to_set(object.spec.at("versions")),
                         .retired = to_set(object.spec.at("retired")),
                         .complete_in = era_in(object.spec)};
    return out;
  } catch (const std::exception& e) {
    state_.log.write(daemon::log_level::error, "recorded versions unreadable",
                     {{"object", object.name}, {"reason", e.what()}});
    return std::nullopt;
  }
}

json::value version_store::encode(const service_versions& stated)
{
  json::object out{{"service", stated.service},
                   {"versions", to_json(stated.versions)},
                   {"retired", to_json(stated.retired)}};
  if (stated.complete_in) {
    out["complete_in_era"] = *stated.complete_in;
  }
  return out;
}

std::optional<std::uint64_t> version_store::complete_in() const
{
  const auto oldest_stream = std::chrono::steady_clock::now() - longest_stream_memory(state_);
  return state_.versions_known_since <= oldest_stream ? std::optional(store_.era()) : std::nullopt;
}

version_store::service_versions version_store::wanted(const std::string& service) const
{
  const auto now = std::chrono::steady_clock::now();
  const auto memory = version_memory(state_);
  service_versions out{.service = service, .complete_in = complete_in()};
  for (const auto& v : state_.endpoints.versions().in_use({service}, now - memory)) {
    if (!is_deferred(v, now)) {
      out.versions.insert(v.version);
    }
  }
  const auto it = stored_.find(service);
  if (it == stored_.end()) {
    return out;
  }
  const auto& present = it->second;
  if (!out.complete_in && is_current(present.content.complete_in)) {
    out.complete_in = present.content.complete_in;
  }
  std::set_difference(present.content.versions.begin(), present.content.versions.end(),
                      out.versions.begin(), out.versions.end(),
                      std::inserter(out.retired, out.retired.end()));
  if (now < present.unchanged_since + memory) {
    std::set_difference(present.content.retired.begin(), present.content.retired.end(),
                        out.versions.begin(), out.versions.end(),
                        std::inserter(out.retired, out.retired.end()));
  }
  return out;
}

std::set<std::string> version_store::services() const
{
  std::set<std::string> out;
  for (const auto& [service, object] : stored_) {
    out.insert(service);
  }
  const auto now = std::chrono::steady_clock::now();
  for (const auto& v : serving(now - version_memory(state_))) {
    out.insert(v.service);
  }
  return out;
}

bool version_store::needs_write(const std::string& service) const
{
  const auto it = stored_.find(service);
  return it == stored_.end() || it->second.content != wanted(service);
}

asio::awaitable<bool> version_store::write_changes()
{
  for (auto& service : services()) {
    if (needs_write(service)) {
      auto changed = service;
      if (!co_await write(std::move(changed))) {
        co_return false;
      }
    }
  }
  if (complete_in() && !is_current(all_services_in_)) {
    co_return co_await write_marker();
  }
  co_return true;
}

// What another coordinator has stored is kept: it may know of a version that has gone.
asio::awaitable<bool> version_store::write(std::string service)
{
  const auto era = store_.era();
  const auto known = stored_.find(service);
  auto content = wanted(service);
  object_write change{.kind = versions_kind,
                      .name = object_name(service),
                      .spec = encode(content),
                      .last_revision = known == stored_.end() ? gateway::store_revision()
                                                              : known->second.revision};
  change.merge = [&](const adapter::stored_object& present) -> std::optional<json::value> {
    if (!take_over(present)) {
      return encode(content); // nobody can read what is there
    }
    content = wanted(service);
    return content == stored_[service].content ? std::nullopt : std::optional(encode(content));
  };
  const auto revision = co_await create_or_replace(store_, state_, std::move(change));
  if (!revision || store_.era() != era) {
    co_return false;
  }
  state_.recorded.set(service, content.versions);
  state_.log.write(daemon::log_level::info, "versions recorded",
                   {{"service", service},
                    {"versions", std::to_string(content.versions.size())},
                    {"retired", std::to_string(content.retired.size())},
                    {"complete", content.complete_in ? "yes" : "no"},
                    {"revision", to_string(*revision)}});
  stored_[service] = {.content = std::move(content),
                      .revision = *revision,
                      .unchanged_since = std::chrono::steady_clock::now()};
  co_return true;
}

asio::awaitable<bool> version_store::write_marker()
{
  const auto era = store_.era();
  object_write change{.kind = versions_kind,
                      .name = std::string(marker_name),
                      .spec = json::object{{"complete_in_era", era}}};
  change.merge = [spec = change.spec](const adapter::stored_object& present) {
    return present.spec == spec ? std::nullopt : std::optional(spec);
  };
  const auto revision = co_await create_or_replace(store_, state_, std::move(change));
  const bool written = revision && store_.era() == era;
  if (written) {
    all_services_in_ = era;
  }
  co_return written;
}

asio::awaitable<void> version_store::read_into(std::shared_ptr<reading> into)
{
  const auto listing =
      co_await list_objects(store_, state_, versions_kind, adapter::list_age::current);
  if (take_over(listing)) {
    into->versions.emplace();
    for (const auto& [service, object] : stored_) {
      for (const auto* versions : {&object.content.versions, &object.content.retired}) {
        for (const auto& v : *versions) {
          into->versions->insert({.service = service, .version = v});
        }
      }
    }
  }
  into->done.notify();
}

asio::awaitable<std::shared_ptr<version_store::reading>>
version_store::fresh_reading(mono_time asked_at, mono_time deadline)
{
  const auto period = std::min(state_.call_period(readings_per_second), max_reading_period);
  for (auto now = asked_at; now < deadline; now = std::chrono::steady_clock::now()) {
    const auto latest = latest_reading_;
    if (latest && latest->began_at >= asked_at) {
      const bool is_done = co_await latest->done.wait_until(context_, deadline);
      co_return is_done ? latest : nullptr;
    }
    if (latest && !latest->done.is_done()) {
      co_await latest->done.wait_until(context_, deadline);
    } else if (latest && now < latest->began_at + period) {
      const auto pause = std::chrono::ceil<milliseconds>(latest->began_at + period - now);
      co_await async_sleep(pause);
    } else {
      latest_reading_ = std::make_shared<reading>();
      latest_reading_->began_at = now;
      asio::co_spawn(context_, read_into(latest_reading_), asio::detached);
    }
  }
  co_return nullptr;
}

asio::awaitable<std::optional<gateway::service_version_set>>
version_store::read_recorded(mono_time deadline)
{
  const auto result = co_await fresh_reading(std::chrono::steady_clock::now(), deadline);
  if (!result) {
    co_return std::nullopt;
  }
  co_return result->versions;
}

} // namespace wisteriaflow::relay
