// The gossip messages between daemons, as plain structs that mirror `GossipMessage` of peer.proto.

#ifndef WISTERIAFLOW_MEMBERSHIP_MESSAGES_H_
#define WISTERIAFLOW_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"

namespace wisteriaflow::membership {

// A heartbeat in compact form; see membership_view::apply_heartbeat.
struct heartbeat {
  std::uint64_t hash = 0;
  std::uint64_t counter = 0;

  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

// The work that one daemon admitted for a workspace, per second, in its last window.
struct workspace_usage {
  workspace_id workspace;
  daemon_id daemon;
  double tokens_per_second = 0;
  double requests_per_second = 0;
  // Increases with each report of the daemon.
  std::uint64_t sequence = 0;

  friend bool operator==(const workspace_usage&, const workspace_usage&) = default;
};

// The load of one endpoint, as measured by the endpoint.
struct endpoint_load {
  endpoint_id endpoint;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Fraction of the KV memory in use, 0 to 1.
  double kv_used = 0;
  wall_time measured_at;

  friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

// The purpose of a message. The reply to an urgent push is almost empty.
enum class gossip_kind : std::uint8_t { exchange, urgent, usage };

struct gossip_message {
  daemon_id from;
  gossip_kind kind = gossip_kind::exchange;
  // The highest configuration revision in force at the sender, and its floor.
  std::uint64_t configuration_revision = 0;
  std::uint64_t configuration_floor = 0;
  std::vector<member> members;
  std::vector<heartbeat> heartbeats;
  // Usage reports, or in a reply the sums of the whole fleet; see usage_aggregator.
  std::vector<workspace_usage> usage;
  std::vector<endpoint_load> loads;
  // The version and hash of the sender's view, and the hashes of its buckets in a repair request.
  std::uint64_t view_version = 0;
  std::uint64_t view_hash = 0;
  std::vector<std::uint32_t> view_buckets;
  // The version of the receiver's view up to which the sender has every change.
  std::uint64_t seen_version = 0;
  // After this reply, the receiver has every change of the sender's view up to this version. 0 if
  // the reply makes no statement about it.
  std::uint64_t covered_version = 0;

  friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

// A message to be sent. Every message has a reply.
struct outgoing_gossip {
  daemon_id to;
  std::string peer_address;
  gossip_message message;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_MESSAGES_H_
