#include "relay/version_store.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <string_view>
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
#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view versions_kind = "gateway-versions";
constexpr milliseconds poll_period{1'000};
// A version whose last endpoint has gone stays in the store for this long, or for as long as the
// streams of some route may be resumed.
constexpr milliseconds min_version_memory{60'000};

// Names of objects are limited to few characters, names of services are not.
std::string object_name(const std::string& service)
{
  return "service-" + std::to_string(hash64_of(service));
}

json::value encode(const std::string& service, const std::set<std::string>& versions)
{
  json::array list;
  for (const auto& v : versions) {
    list.emplace_back(v);
  }
  return json::object{{"service", service}, {"versions", std::move(list)}};
}

} // namespace

version_store::version_store(asio::io_context& context, fleet_state& state, store_client& store)
    : context_(context), state_(state), store_(store)
{
  store_.add_restore_callback([this] { stored_.clear(); });
}

void version_store::start()
{
  asio::co_spawn(context_, run(), asio::detached);
}

asio::awaitable<void> version_store::run()
{
  for (unsigned failures = 0;;) {
    bool succeeded = true;
    if (!state_.stored_versions_read) {
      succeeded = co_await read();
      state_.stored_versions_read = succeeded;
    }
    // The coordinators are computed from all live peers, so this is checked last.
    if (succeeded && several_in_use() != stored_ &&
        state_.is_coordinator(std::chrono::steady_clock::now())) {
      succeeded = co_await write_changes();
    }
    failures = succeeded ? 0 : failures + 1;
    co_await async_sleep(succeeded ? poll_period : store_.backoff(failures));
  }
}

asio::awaitable<bool> version_store::read()
{
  const auto listing =
      co_await list_objects(store_, state_, versions_kind, adapter::list_age::current);
  for (const auto& item : listing.items) {
    merge(item);
  }
  if (listing.is_complete) {
    state_.log.write(
        daemon::log_level::info, "stored versions read",
        {{"services", std::to_string(stored_.size())}, {"revision", to_string(listing.revision)}});
  }
  co_return listing.is_complete;
}

void version_store::merge(const adapter::stored_object& object)
{
  if (const auto stated = decode(object)) {
    const auto& [service, versions] = *stated;
    stored_[service] = versions;
    for (const auto& v : versions) {
      state_.endpoints.on_version_stated({.service = service, .version = v},
                                         std::chrono::steady_clock::now());
    }
  }
}

std::optional<version_store::service_versions>
version_store::decode(const adapter::stored_object& object)
{
  try {
    service_versions out{.service = json::value_to<std::string>(object.spec.at("service"))};
    for (const auto& v : object.spec.at("versions").as_array()) {
      out.versions.insert(json::value_to<std::string>(v));
    }
    return out;
  } catch (const std::exception& e) {
    state_.log.write(daemon::log_level::error, "stored versions unreadable",
                     {{"object", object.name}, {"reason", e.what()}});
    return std::nullopt;
  }
}

version_store::versions_by_service version_store::several_in_use() const
{
  auto memory = min_version_memory;
  if (const auto& configuration = state_.configuration()) {
    for (const auto& r : configuration->declared().routes) {
      memory = std::max(memory, stream_memory(r));
    }
  }
  const auto since = std::chrono::steady_clock::now() - memory;
  versions_by_service out;
  for (const auto& v : state_.endpoints.versions().in_use(since)) {
    out[v.service].insert(v.version);
  }
  std::erase_if(out, [](const auto& it) { return it.second.size() == 1; });
  return out;
}

asio::awaitable<bool> version_store::write_changes()
{
  const auto several = several_in_use();
  for (const auto& [service, versions] : several) {
    const auto it = stored_.find(service);
    const bool is_stored = it != stored_.end() && it->second == versions;
    if (!is_stored && !co_await write(service, versions)) {
      co_return false;
    }
  }
  auto settled = stored_;
  std::erase_if(settled, [&several](const auto& it) { return several.contains(it.first); });
  for (const auto& [service, versions] : settled) {
    auto message = adapter::remove_call(versions_kind, object_name(service));
    const auto reply = co_await store_.call(std::move(message), "remove", store_call_timeout);
    if (reply.result != adapter::store_result::done &&
        reply.result != adapter::store_result::missing) {
      co_return false;
    }
    stored_.erase(service);
  }
  co_return true;
}

// What another coordinator has stored is kept: it may know of a version that has gone.
asio::awaitable<bool> version_store::write(std::string service, std::set<std::string> versions)
{
  const auto name = object_name(service);
  auto create = adapter::create_call(versions_kind, name, encode(service, versions));
  auto reply = co_await store_.call(std::move(create), "create", store_call_timeout);
  if (reply.result == adapter::store_result::conflict) {
    try {
      const auto present = adapter::decode_object(reply.body, reply.era);
      const auto stated = decode(present);
      if (stated && stated->versions != stored_[service]) {
        merge(present);
        versions.insert(stated->versions.begin(), stated->versions.end());
      }
      if (stated && stated->versions == versions) {
        co_return true;
      }
      auto replace =
          adapter::replace_call(versions_kind, name, encode(service, versions), present.revision);
      reply = co_await store_.call(std::move(replace), "replace", store_call_timeout);
    } catch (const adapter::format_error& e) {
      state_.log.write(daemon::log_level::error, "store answer unreadable",
                       {{"kind", std::string(versions_kind)}, {"reason", e.what()}});
      co_return false;
    }
  }
  if (reply.result != adapter::store_result::done) {
    co_return false;
  }
  stored_[service] = std::move(versions);
  co_return true;
}

} // namespace wisteriaflow::relay
