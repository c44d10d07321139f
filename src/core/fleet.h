// One daemon's view of the fleet and the protocols that maintain it: membership, gossip, its own
// registration, the endpoints that it reaches, and their loads.
//
// Implementation files: fleet.cc (members and gossip), fleet_endpoints.cc (endpoints).

#ifndef WISTERIAFLOW_SRC_CORE_FLEET_H_
#define WISTERIAFLOW_SRC_CORE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "core/core_context.h"
#include "wisteriaflow/membership/address_selector.h"
#include "wisteriaflow/membership/gossip.h"
#include "wisteriaflow/membership/view.h"
#include "wisteriaflow/objects/fleet_configuration.h"
#include "wisteriaflow/routing/choose_endpoint.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_cache_index.h"

namespace wisteriaflow::core::internal {

// Callbacks for changes that other services react to.
struct fleet_listener {
  // The endpoint gets no new requests from now on. Running ones should move before `reclaim_at`.
  std::function<void(const endpoint_id&, std::optional<wall_time> reclaim_at)> endpoint_leaving;
  // The set of live daemons or their attributes may have changed.
  std::function<void()> daemons_changed;
  // This daemon's own instance will be reclaimed.
  std::function<void(std::optional<wall_time> reclaim_at)> self_reclaimed;
  // A peer has reported the highest configuration revision that it knows and the daemon that has
  // it.
  std::function<void(const membership::gossiper::known_configuration&)> peer_configuration_received;
};

class fleet {
 public:
  fleet(core_context& context, fleet_listener listener);

  // Registers this daemon and starts to gossip. Call once.
  void start();

  // Announces to peers that this daemon is leaving, and deletes its registration.
  void deregister(std::optional<wall_time> reclaim_at);

  void on_instances(const boost::json::value& document);
  void on_notices(const boost::json::value& document);
  void on_load(const load_reported& report);
  void on_cache_events(const cache_events_reported& report);
  [[nodiscard]] membership::gossip_message on_gossip(const membership::gossip_message& message);

  // Sets the configuration in force, which determines the endpoints to reach.
  void set_configuration(std::shared_ptr<const objects::fleet_configuration> configuration,
                         std::uint64_t floor);

  // Returns the slots of reached endpoints that accept new requests and match.
  [[nodiscard]] std::vector<routing::endpoint_slot>
  candidates(const std::function<bool(const objects::instance_description&)>& matches) const;

  void on_connect_failed(const endpoint_id& endpoint);
  void on_connected(const endpoint_id& endpoint);

  [[nodiscard]] std::vector<daemon_id> live_daemon_ids() const;

  // Returns whether a daemon is known to be gone, or is still unknown `gone_after` after the start.
  [[nodiscard]] bool is_gone(const daemon_id& id) const;

  // Return the address of a daemon for peers and for callers; empty if the daemon is unknown.
  [[nodiscard]] std::optional<http::socket_address> peer_address_of(const daemon_id& id) const;
  [[nodiscard]] std::string caller_address_of(const daemon_id& id) const;

  // Returns whether a daemon that is neither gone nor suspected serves callers at `address`.
  [[nodiscard]] bool has_live_daemon_at(const std::string& address) const;

  // Returns the address of an endpoint, even if it is leaving or not reached by this daemon; empty
  // if it is unknown.
  [[nodiscard]] std::string endpoint_address_of(const endpoint_id& id) const;

  [[nodiscard]] const membership::membership_view& view() const { return view_; }
  [[nodiscard]] membership::gossiper& gossip() { return gossiper_; }
  [[nodiscard]] routing::endpoint_table& endpoints() { return endpoints_; }
  [[nodiscard]] const routing::endpoint_table& endpoints() const { return endpoints_; }
  [[nodiscard]] routing::prefix_cache_index& prefixes() { return prefixes_; }
  [[nodiscard]] const routing::prefix_cache_index& prefixes() const { return prefixes_; }

 private:
  void register_self();
  void list_daemons();
  void on_daemons_listed(const store_answer& answer);
  void remove_stale_registration(const membership::member& registered);
  void send_initial_gossip(const http::socket_address& to);
  void send(std::vector<membership::outgoing_gossip> messages);
  void on_gossip_reply(const membership::outgoing_gossip& sent, const peer_response* response);
  void gossip_now();
  void apply_view_changes();
  void forward_configuration_revision(const membership::gossip_message& message);
  void update_endpoints();
  std::set<endpoint_id> endpoint_subset() const;
  void announce_leaving_endpoints();
  void poll_loads();

  core_context& context_;
  fleet_listener listener_;
  membership::membership_view view_;
  membership::gossiper gossiper_;
  routing::endpoint_table endpoints_;
  routing::prefix_cache_index prefixes_;
  std::shared_ptr<const objects::fleet_configuration> configuration_;
  // Input of selectors for each reached endpoint, by slot. Cached because every request needs it.
  std::vector<objects::instance_description> descriptions_;
  std::map<endpoint_id, std::uint64_t> cache_events_seen_; // last sequence number
  // Leaving endpoints that were reported to the listener, with the reported reclaim time.
  std::map<endpoint_id, std::optional<wall_time>> announced_leaving_;
  std::uint64_t applied_view_version_ = 0;
  timer_number gossip_timer_ = 0;
  mono_time started_at_;
  mono_time update_due_;
  bool update_scheduled_ = false;
  bool leaving_ = false;
};

// Returns the properties of an endpoint that selectors match.
[[nodiscard]] objects::instance_description describe(const membership::member& m);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_FLEET_H_
