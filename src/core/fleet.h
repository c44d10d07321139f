// One daemon's knowledge of the fleet, and what it does to keep it: membership, gossip, its own
// registration, the endpoints it reaches, and their loads. Implementation files: fleet.cc (members
// and gossip), fleet_endpoints.cc (endpoints).

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
#include "wisteriaflow/membership/address_book.h"
#include "wisteriaflow/membership/gossip.h"
#include "wisteriaflow/membership/view.h"
#include "wisteriaflow/objects/fleet_configuration.h"
#include "wisteriaflow/routing/choose_endpoint.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_belief.h"

namespace wisteriaflow::core::internal {

// Told about changes that other services act on.
struct fleet_listener {
  // The endpoint gets no new work from now on; what runs there should move before `reclaim_at`.
  std::function<void(const endpoint_id&, std::optional<wall_time> reclaim_at)> endpoint_leaving;
  // The set of live daemons, or what they are, may have changed.
  std::function<void()> daemons_changed;
  // This daemon's own instance is to be given back.
  std::function<void(std::optional<wall_time> reclaim_at)> self_leaving;
  // A peer has told the highest configuration revision that it knows, and who has it.
  std::function<void(const membership::gossiper::known_configuration&)> configuration_heard;
};

class fleet {
 public:
  fleet(core_context& context, fleet_listener listener);

  // Registers this daemon and begins to gossip. Call once.
  void start();

  // Takes this daemon out: peers are told, and the registration is deleted.
  void leave(std::optional<wall_time> reclaim_at);

  void on_instances(const boost::json::value& document);
  void on_notices(const boost::json::value& document);
  void on_load(const load_reported& report);
  void on_cache_events(const cache_events_reported& report);
  [[nodiscard]] membership::gossip_message on_gossip(const membership::gossip_message& message);

  // The configuration in force decides which endpoints are reached.
  void set_configuration(std::shared_ptr<const objects::fleet_configuration> configuration,
                         std::uint64_t floor);

  // Slots of reached endpoints that take new work and match.
  [[nodiscard]] std::vector<routing::endpoint_slot>
  candidates(const std::function<bool(const objects::instance_description&)>& matches) const;

  void connect_failed(const endpoint_id& endpoint);
  void connected(const endpoint_id& endpoint);

  [[nodiscard]] std::vector<daemon_id> live_daemon_ids() const;

  // Whether a daemon is known to be gone, or has not been heard of in the time that takes to learn.
  [[nodiscard]] bool is_gone(const daemon_id& id) const;

  // Where to reach a daemon; nothing if it is unknown.
  [[nodiscard]] std::optional<http::socket_address> peer_address_of(const daemon_id& id) const;
  [[nodiscard]] std::string caller_address_of(const daemon_id& id) const;

  // Whether a daemon that is neither gone nor silent answers callers at `address`.
  [[nodiscard]] bool answers_callers_at(const std::string& address) const;

  // The address of an endpoint, also of one that leaves or is not reached from here; empty if it is
  // unknown.
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
  void seed_gossip(const http::socket_address& to);
  void send(std::vector<membership::outgoing_gossip> messages);
  void on_gossip_reply(const membership::outgoing_gossip& sent, const peer_response* response);
  void gossip_now();
  void after_change();
  void note_configuration(const membership::gossip_message& message);
  void update_endpoints();
  std::set<endpoint_id> reached() const;
  void announce_leaving_endpoints();
  void poll_loads();

  core_context& context_;
  fleet_listener listener_;
  membership::membership_view view_;
  membership::gossiper gossiper_;
  routing::endpoint_table endpoints_;
  routing::prefix_cache_index prefixes_;
  std::shared_ptr<const objects::fleet_configuration> configuration_;
  // What selectors see of each reached endpoint, by slot: made once, looked at with every request.
  std::vector<objects::instance_description> described_;
  std::map<endpoint_id, std::uint64_t> cache_events_seen_; // the last sequence number
  // Endpoints whose leaving the listener was told, with the reclaim time told.
  std::map<endpoint_id, std::optional<wall_time>> announced_;
  std::uint64_t seen_version_ = 0;
  timer_number gossip_timer_ = 0;
  mono_time started_at_;
  mono_time update_due_;
  bool update_scheduled_ = false;
  bool leaving_ = false;
};

// What selectors see of an endpoint.
[[nodiscard]] objects::instance_description describe(const membership::member& m);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_FLEET_H_
