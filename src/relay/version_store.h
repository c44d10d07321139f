// Records in the platform's store which software versions of each service serve, before they begin
// streams that may be resumed, and learns from the store and from peers what is recorded.
//
// After the end of all daemons the record tells which versions may have begun the streams that
// callers resume then. It is complete because a daemon sends resumable streams only to endpoints of
// versions that it knows to be recorded; see recorded_versions.
//
// The store has one object for each service, and one that states that there are no others. Each
// names the era of the store for which it is complete: objects may be missing or old in a store
// that has been restored from a copy, and a new fleet cannot tell whether its store was. A daemon
// may state it once it has known all versions for as long as a stream may be resumed.
//
// While one version serves, a second one is recorded a little later than it appears: what began
// before needs no origin of its own until then, and is stored in the meantime.
//
// A version without endpoints is retired first, and removed later, so that no daemon still believes
// it to be recorded then. Objects are never removed: a removal may be done late.
//
// The coordinator daemons write; the others ask them. Nothing is read or written while no version
// comes or goes and no origin is inferred. The origins of single streams are kept by origin_store.

#ifndef WISTERIAFLOW_SRC_RELAY_VERSION_STORE_H_
#define WISTERIAFLOW_SRC_RELAY_VERSION_STORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/completion.h"
#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "relay/store_list.h"
#include "store_calls.h"
#include "wisteriaflow/gateway/version_history.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

// GET: the versions that a daemon knows to be recorded.
inline constexpr std::string_view recorded_versions_target = "/recorded-versions";

// Not thread-safe.
class version_store {
 public:
  version_store(boost::asio::io_context& context, fleet_state& state, store_client& store);

  // Starts a coroutine that reads once and then keeps the record until the context stops.
  void start();

  // Reads which versions of all services may have begun streams; the reading begins after the call.
  // Returns nothing if the store does not answer before the deadline, or does not know.
  boost::asio::awaitable<std::optional<gateway::service_version_set>>
  read_recorded(mono_time deadline);

  // Answers a peer that asks for the recorded versions.
  boost::asio::awaitable<void> serve_recorded(http::request request, http::response_writer& writer);

 private:
  // What one object states.
  struct service_versions {
    std::string service;
    std::set<std::string> versions;
    // Versions that have had no endpoint for as long as a stream may be resumed. They may not serve
    // until they are among `versions` again.
    std::set<std::string> retired;
    // The era of the store for which the list is complete; absent: it is not known to be.
    std::optional<std::uint64_t> complete_in;

    friend bool operator==(const service_versions&, const service_versions&) = default;
  };
  // An object as this daemon last read or wrote it.
  struct known_object {
    service_versions content;
    gateway::store_revision revision;
    mono_time unchanged_since;
  };
  // A reading of all objects.
  struct reading {
    mono_time began_at;
    completion done;
    std::optional<gateway::service_version_set> versions; // if the record is complete
  };

  boost::asio::awaitable<void> run();
  void update_knowledge(mono_time now);
  // Whether endpoints of a version serve that is not known to be recorded.
  [[nodiscard]] bool has_missing(mono_time now) const;
  // Whether the version is not recorded yet, so that the streams of the one that serves can still
  // be told apart.
  [[nodiscard]] bool is_deferred(const gateway::service_version& version, mono_time now) const;
  // Each of these returns whether it succeeded.
  boost::asio::awaitable<bool> read_all();
  boost::asio::awaitable<bool> write_changes();
  boost::asio::awaitable<bool> write(std::string service);
  boost::asio::awaitable<bool> write_marker();
  boost::asio::awaitable<bool> ask_peer(http::socket_address peer);
  // Learns what is recorded without writing: from a coordinator, or else from the store.
  boost::asio::awaitable<bool> learn();

  boost::asio::awaitable<void> read_into(std::shared_ptr<reading> into);
  // A reading that begins at `asked_at` or later; null if it does not end before the deadline.
  boost::asio::awaitable<std::shared_ptr<reading>> fresh_reading(mono_time asked_at,
                                                                 mono_time deadline);

  // Takes over what the objects state. Returns whether the record is complete.
  bool take_over(const listing& all);
  // Takes over what an object states, if it is readable.
  bool take_over(const adapter::stored_object& object);
  // Returns nullopt, and logs it, if the object is unreadable.
  [[nodiscard]] std::optional<service_versions> decode(const adapter::stored_object& object);
  [[nodiscard]] static boost::json::value encode(const service_versions& stated);
  // The versions of services that resumable streams are sent to, with an endpoint now or after
  // `since`.
  [[nodiscard]] gateway::service_version_set serving(mono_time since) const;
  // Services of them and those that are recorded.
  [[nodiscard]] std::set<std::string> services() const;
  // What the service's object should state.
  [[nodiscard]] service_versions wanted(const std::string& service) const;
  [[nodiscard]] bool needs_write(const std::string& service) const;
  // The era for which this daemon's knowledge is complete.
  [[nodiscard]] std::optional<std::uint64_t> complete_in() const;
  [[nodiscard]] bool is_current(const std::optional<std::uint64_t>& era) const
  {
    return era && *era == store_.era();
  }

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  http::client peer_client_;
  std::map<std::string, known_object> stored_;   // by service
  std::optional<std::uint64_t> all_services_in_; // the era in the marker
  bool is_read_ = false;                         // all objects have been read
  bool has_view_gap_ = false; // the view of the endpoints has been old since they were last known
  std::optional<mono_time> first_list_at_; // of endpoints
  unsigned questions_ = 0;                 // in a row without learning all that is missing
  std::shared_ptr<reading> latest_reading_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_VERSION_STORE_H_
