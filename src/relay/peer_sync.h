// Exchanges reports with the other gateway daemons, and configurations that one of them lacks.

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
#include "wisteriaflow/gateway/peer_rounds.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class peer_sync {
 public:
  peer_sync(boost::asio::io_context& context, fleet_state& state);

  // Starts to exchange. Never ends.
  void start();

  // Takes `units` of a workspace's rate, asking its owner if need be.
  boost::asio::awaitable<gateway::quota_decision> admit(workspace_id workspace, double units);

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> serve(http::request asked, http::response_writer& writer);
  boost::asio::awaitable<void> exchange(http::socket_address peer,
                                        fleet_state::report_extent extent);
  // This daemon's report, packed, since the ids and names in it repeat.
  struct made_report {
    std::string packed;
    mono_time made_at;
  };
  const made_report& current_report(fleet_state::report_extent extent);
  void count_report(const std::string& body, const char* direction);
  gateway::peer_report unpack_report(const std::string& body,
                                     const http::headers& fields); // throws peer_report_error
  boost::asio::awaitable<std::optional<gateway::quota_grant>>
  ask_owner(daemon_id owner, gateway::quota_request question);
  http::response answer_report(const http::request& asked);
  http::response answer_quota(const http::request& asked);
  // Something that a peer knows of and this daemon does not.
  struct fetch_kind {
    std::string what; // for the log; one of a kind is fetched at a time
    std::string target;
    std::function<void(const std::string& body)> take; // throws error if it is unreadable
  };
  boost::asio::awaitable<void> fetch(http::socket_address peer, fetch_kind kind);
  void fetch_configuration(const http::socket_address& peer);
  void fetch_endpoints(const http::socket_address& peer);
  // Takes in what a peer told, and fetches what it knows more of.
  void take_report(const gateway::peer_report& told, const http::socket_address& from);
  // Fetches all that a peer knows of crashes if that has differed from what is known here for
  // longer than news take.
  void compare_crashes(const gateway::peer_report& told, mono_time now);
  void fetch_crashes(const http::socket_address& peer);
  http::response answer_endpoints(const http::request& asked);
  // Starts one round of the exchange.
  void ask_peers(mono_time now);
  void tell_news(mono_time now);
  // Peers that are not being asked.
  [[nodiscard]] std::vector<http::socket_address> peers_to_ask(mono_time now) const;
  void ask(const http::socket_address& peer, fleet_state::report_extent extent);
  // Sends news at once, but news that follow closely share a message.
  void hurry();

  boost::asio::io_context& context_;
  fleet_state& state_;
  http::client client_;
  http::server server_;
  boost::asio::steady_timer wait_;
  std::set<http::socket_address> asked_; // exchanges under way
  gateway::gossip_scheduler rounds_;
  std::map<fleet_state::report_extent, made_report> made_;
  bool hurried_ = false;
  mono_time next_round_;
  std::set<std::string> fetches_; // under way, by what they fetch
  std::optional<mono_time> crashes_differ_since_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_PEER_SYNC_H_
