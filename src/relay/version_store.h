// Records in the platform's store which software versions of each service serve, before they begin
// streams that may be resumed, and learns from the store and from peers what is recorded.
//
// After the end of all daemons the record tells which versions may have begun the streams that
// callers resume then. It is complete because a daemon sends resumable streams only to endpoints of
// versions that it knows to be recorded; see recorded_versions. A missing object therefore means
// that no version of the service has begun a stream. This does not hold for a store that has been
// restored from a copy: each object states the era of the store for which its list is complete.
//
// The store has one object for each service. The coordinator daemons write it; the other daemons
// ask them. Nothing is read or written while no version comes or goes and no origin is inferred.
// The origins of single streams are kept by origin_exchange.

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
#include <boost/asio/steady_timer.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
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

  // Reads which versions of the services may have begun streams. Returns nothing if the store does
  // not answer within a fraction of a second, or does not know.
  boost::asio::awaitable<std::optional<gateway::service_version_set>>
  read_recorded(std::vector<std::string> services);

  // Answers a peer that asks for the recorded versions.
  boost::asio::awaitable<void> serve_recorded(http::request request, http::response_writer& writer);

 private:
  // What one object states.
  struct service_versions {
    std::string service;
    std::set<std::string> versions;
    // The era of the store for which the list is complete; absent: it is not known to be.
    std::optional<std::uint64_t> complete_in;

    friend bool operator==(const service_versions&, const service_versions&) = default;
  };
  using versions_by_service = std::map<std::string, service_versions>;
  // The reading of one service's object.
  struct reading {
    explicit reading(boost::asio::io_context& context) : done(context) {}

    mono_time began_at;
    bool is_done = false;
    std::optional<service_versions> found; // of the current era
    bool is_missing = false;               // the store has no such object
    boost::asio::steady_timer done;        // cancelled when the reading is done
  };

  boost::asio::awaitable<void> run();
  void update_knowledge(mono_time now);
  // Whether endpoints of a version serve that is not known to be recorded.
  [[nodiscard]] bool has_missing(mono_time now) const;
  // Each of these returns whether it succeeded.
  boost::asio::awaitable<bool> read_all();
  boost::asio::awaitable<bool> write_changes();
  boost::asio::awaitable<bool> write(service_versions wanted);
  boost::asio::awaitable<bool> ask_peer(http::socket_address peer);

  // Learns what is recorded without writing: from a coordinator, or else from the store.
  boost::asio::awaitable<bool> learn();
  boost::asio::awaitable<void> read_object(std::string service, std::shared_ptr<reading> into);

  // Takes over what an object states, if it is readable.
  std::optional<service_versions> merge(const adapter::stored_object& object);
  // Returns nullopt, and logs it, if the object is unreadable.
  [[nodiscard]] std::optional<service_versions> decode(const adapter::stored_object& object);
  // What the store should hold: the versions that streams may still be resumed at.
  [[nodiscard]] versions_by_service wanted() const;
  // The era for which this daemon's knowledge is complete.
  [[nodiscard]] std::optional<std::uint64_t> complete_in() const;
  [[nodiscard]] bool is_current(const service_versions& stated) const
  {
    return stated.complete_in && *stated.complete_in == store_.era();
  }

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  http::client peer_client_;
  versions_by_service stored_;                // as this daemon last read or wrote them
  bool is_read_ = false;                      // all objects have been read once
  std::optional<mono_time> stops_waiting_at_; // see max_start_delay
  unsigned questions_ = 0;                    // asked in a row without learning all that is missing
  std::map<std::string, std::shared_ptr<reading>> readings_; // the latest of each service
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_VERSION_STORE_H_
