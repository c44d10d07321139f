// Exchanges reports with the other gateway daemons, periodically and at once after urgent changes,
// and fetches configurations, endpoints and crash records that this daemon lacks.

#ifndef WISTERIAFLOW_SRC_RELAY_PEER_SYNC_H_
#define WISTERIAFLOW_SRC_RELAY_PEER_SYNC_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "relay/fleet_state.h"
#include "wisteriaflow/gateway/gossip_scheduler.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

// Serves the peers' requests and sends this daemon's own. Not thread-safe.
class peer_sync {
 public:
  peer_sync(boost::asio::io_context& context, fleet_state& state);

  // Starts the exchange. It never ends.
  void start();

  // Passes the requests of peers at `target` to `serve`.
  void add_handler(std::string target, http::handler serve);

  // Takes `units` from a workspace's rate limit, with a request to the daemon that owns the limit
  // if needed.
  boost::asio::awaitable<gateway::quota_decision> admit(workspace_id workspace, double units,
                                                        load::rank_class rank);

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> serve(http::request request, http::response_writer& writer);
  boost::asio::awaitable<void> exchange(http::socket_address peer,
                                        fleet_state::report_extent extent);
  // This daemon's report, compressed, because the ids and names in it repeat.
  struct cached_report {
    std::string packed;
    mono_time made_at;
  };
  const cached_report& current_report(fleet_state::report_extent extent);
  void count_report(const std::string& body, const char* direction);
  // Counts the body of an answer to a fetch, by what was fetched.
  void count_bytes(const std::string& message, const char* direction, const std::string& body);
  gateway::peer_report unpack_report(const std::string& body,
                                     const http::headers& fields); // throws peer_report_error
  boost::asio::awaitable<std::optional<gateway::quota_grant>>
  ask_owner(daemon_id owner, gateway::quota_request request);
  http::response answer_report(const http::request& request);
  http::response answer_quota(const http::request& request);
  http::response answer_usage(const http::request& request);
  // Sends usage counts on their way to the leader.
  void send_usage();
  boost::asio::awaitable<void> deliver_usage(gateway::usage_delivery delivery);
  // A resource that a peer has in a newer state than this daemon.
  struct fetch_request {
    std::string name; // for the log; only one fetch of each name runs at a time
    std::function<std::string()> target;
    // Returns whether there is more to fetch; throws error if the body is unreadable.
    std::function<bool(const std::string& body)> apply;
  };
  boost::asio::awaitable<void> fetch(http::socket_address peer, fetch_request request);
  void fetch_configuration(const http::socket_address& peer);
  void fetch_endpoints(const http::socket_address& peer);
  // Merges a peer's report, and fetches what the peer has in a newer state.
  void handle_report(const gateway::peer_report& report, const http::socket_address& from);
  // Fetches all crash records of a peer if its digest has differed from the own one for longer than
  // crash records take to propagate.
  void reconcile_crashes(const gateway::peer_report& report, mono_time now);
  void fetch_crashes(const http::socket_address& peer);
  http::response answer_endpoints(const http::request& request);
  // Starts the exchanges of one periodic round.
  void start_round(mono_time now);
  void send_urgent_update(mono_time now);
  // Peers without an exchange in progress.
  [[nodiscard]] std::vector<http::socket_address> idle_peers(mono_time now) const;
  void start_exchange(const http::socket_address& peer, fleet_state::report_extent extent);
  // Schedules an exchange for an urgent update; updates that follow closely share a message.
  void schedule_urgent_exchange();

  boost::asio::io_context& context_;
  fleet_state& state_;
  http::client client_;
  http::server server_;
  boost::asio::steady_timer timer_;
  std::set<http::socket_address> exchanges_in_flight_;
  gateway::gossip_scheduler rounds_;
  std::map<std::string, http::handler> handlers_; // by target
  std::map<fleet_state::report_extent, cached_report> cached_reports_;
  bool urgent_update_pending_ = false;
  mono_time next_round_;
  std::set<std::string> fetches_in_flight_;        // by fetch_request::name
  std::set<daemon_id> usage_deliveries_in_flight_; // by receiver
  std::optional<mono_time> crashes_differ_since_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_PEER_SYNC_H_
