// Replicates the origin of a stream to other daemons before its first event is forwarded, and finds
// the origin when the stream is resumed.
//
// While all endpoints of a route's services have been running one version for as long as the
// longest stream may last, nothing is replicated. Otherwise a few daemons in other availability
// zones hold the origin, and one of them confirms it before the first event is forwarded. A daemon
// at which the stream is resumed queries the daemons that would hold it. If none does, the versions
// in the store decide. If more than one may have started the stream, its origin is known only if
// its daemon has stored it; see origin_store.
//
//   const bool settled = co_await origins.settle({.origin = origin, ...});
//   if (settled) { ... forward the first event ... }
//
//   const auto found = co_await origins.find(question); // at the daemon that resumes the stream

#ifndef WISTERIAFLOW_SRC_RELAY_ORIGIN_EXCHANGE_H_
#define WISTERIAFLOW_SRC_RELAY_ORIGIN_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/event_log.h"
#include "relay/fleet_state.h"
#include "relay/origin_store.h"
#include "wisteriaflow/gateway/configuration.h"
#include "wisteriaflow/gateway/stream_origin_codec.h"
#include "wisteriaflow/gateway/stream_origins.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

inline constexpr std::string_view origins_target = "/stream-origins"; // POST: replicates origins
inline constexpr std::string_view origin_target = "/stream-origin";   // POST: queries one

// How the origin of a stream was found, or why it was not.
enum class origin_evidence {
  own_record,   // this daemon holds it
  peer_record,  // another daemon holds it
  stored,       // a process that may have ended has left it in the store
  only_version, // no other version has been in use for as long as a stream may last
  unknown,      // several versions may have started the stream, or too little is known
  ambiguous,    // two streams were started under this id
  overloaded,   // this daemon has too many queries in flight
};

[[nodiscard]] std::string_view to_string(origin_evidence evidence);

// What an origin was inferred from, or why it could not be.
struct origin_basis {
  gateway::service_version_set in_use; // at this daemon and at those that replied
  std::size_t replies = 0;
  bool knows_versions = false; // one of them knows which versions went before
  bool is_current = false;     // one of them has a recent view of the endpoints
  bool is_majority = false;
  bool is_read = false; // the versions in the store are among them

  friend bool operator==(const origin_basis&, const origin_basis&) = default;
};

// The basis as fields of a log line.
[[nodiscard]] log_fields to_log_fields(const origin_basis& basis);

struct found_origin {
  std::optional<gateway::service_version> version; // absent: not found
  origin_evidence evidence = origin_evidence::unknown;
  origin_basis basis = {};
};

// How long a stream of the route may be resumed.
[[nodiscard]] std::chrono::milliseconds stream_memory(const gateway::route& r);

// Names of the route's services.
[[nodiscard]] std::vector<std::string> services_of(const gateway::route& r);

// The longest time for which a stream of some route may be resumed.
[[nodiscard]] std::chrono::milliseconds longest_stream_memory(const fleet_state& state);

using gateway::started_stream;

// Reads from the store which versions of all services may have begun streams; see version_store.
using recorded_versions_reader =
    std::function<boost::asio::awaitable<std::optional<gateway::service_version_set>>(
        mono_time deadline)>;

// Not thread-safe.
class origin_exchange {
 public:
  origin_exchange(boost::asio::io_context& context, fleet_state& state,
                  recorded_versions_reader read_recorded, origin_store& stored);

  // Starts to replicate the origins of streams that started while only one version was in use, when
  // another one appears. Never ends.
  void start();

  // Records the stream's origin and replicates it if that is needed. Returns false if other daemons
  // might infer another version: then no event may be forwarded.
  boost::asio::awaitable<bool> settle(started_stream stream);
  // The same without waiting for other daemons.
  void refresh(started_stream stream);
  // The stream's answer has been sent to its end.
  void on_completed(const gateway::stream_id& stream);

  // Finds the version that started a stream.
  boost::asio::awaitable<found_origin> find(gateway::origin_question question);

  // Answer peers.
  boost::asio::awaitable<void> serve_origins(http::request request, http::response_writer& writer);
  boost::asio::awaitable<void> serve_question(http::request request, http::response_writer& writer);

 private:
  // An origin that is being replicated.
  struct replication;
  // The replies to one query.
  struct search;
  // A message with origins for one daemon.
  struct batch {
    gateway::daemon_contact to;
    std::vector<gateway::stream_origin> origins;
  };

  // Whether several versions may have started streams of the route.
  [[nodiscard]] bool has_several_versions(const started_stream& stream, mono_time now) const;
  // Whether this daemon has known all versions of the services for so long that the others know of
  // them, too, and don't infer another origin.
  [[nodiscard]] bool are_versions_widely_known(const started_stream& stream, mono_time now) const;
  // Sends the origin to one holder after the other until one confirms.
  boost::asio::awaitable<void> replicate_to_next_holders(std::shared_ptr<replication> task);
  boost::asio::awaitable<bool> send(http::socket_address peer, std::string body);
  boost::asio::awaitable<void> query(http::socket_address peer, std::string body,
                                     std::shared_ptr<search> replies);
  // The origin that a record states; `unknown` if there is no record.
  [[nodiscard]] found_origin evaluate_records(const gateway::origin_question& question,
                                              const search& replies, mono_time now) const;
  // What this daemon's own records, and those that it read from the store, state.
  [[nodiscard]] gateway::origin_lookup lookup(const gateway::stream_id& stream,
                                              mono_time now) const;
  // The origin that this daemon holds, if it does.
  [[nodiscard]] std::optional<found_origin> find_own(const gateway::stream_id& stream,
                                                     mono_time now) const;
  // Queries the daemons that would hold the stream's origin.
  boost::asio::awaitable<found_origin> query_peers(const gateway::origin_question& question);
  // Looks for the origin among those in the store.
  boost::asio::awaitable<found_origin> find_stored(gateway::stream_id stream, found_origin known,
                                                   mono_time deadline);
  // Infers the origin of a stream without a record, if one version alone may have started it.
  boost::asio::awaitable<found_origin> infer(found_origin known, mono_time deadline);
  [[nodiscard]] bool knows_versions(const gateway::origin_question& question) const
  {
    return state_.versions_known_since <= question.since;
  }
  boost::asio::awaitable<void> replicate_in_background();
  // The unreplicated origins of services with several versions, by holder.
  [[nodiscard]] std::vector<batch> unreplicated_batches(mono_time now);
  boost::asio::awaitable<void> send_batch(batch message);

  boost::asio::io_context& context_;
  fleet_state& state_;
  recorded_versions_reader read_recorded_;
  origin_store& stored_;
  http::client client_;
  // This daemon's streams that started while only one version was in use.
  std::map<gateway::stream_id, started_stream> unreplicated_;
  std::size_t batches_in_flight_ = 0;
  std::size_t open_searches_ = 0;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ORIGIN_EXCHANGE_H_
