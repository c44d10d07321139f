// What daemons gossip to each other, as plain values that mirror `GossipMessage` of peer.proto.

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

// What one daemon admitted for a workspace, per second of its last window.
struct workspace_usage {
  workspace_id workspace;
  daemon_id daemon;
  double tokens_per_second = 0;
  double requests_per_second = 0;
  // Rises with each report of the daemon.
  std::uint64_t sequence = 0;

  friend bool operator==(const workspace_usage&, const workspace_usage&) = default;
};

// The load of one endpoint as last measured by it.
struct endpoint_load {
  endpoint_id endpoint;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Fraction of the KV memory in use, 0 to 1.
  double kv_used = 0;
  wall_time measured_at;

  friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

// What a message is for; a receiver of an urgent push answers with next to nothing.
enum class gossip_kind : std::uint8_t { exchange, urgent, usage };

struct gossip_message {
  daemon_id from;
  gossip_kind kind = gossip_kind::exchange;
  // The highest configuration revision in force at the sender, and its floor.
  std::uint64_t configuration_revision = 0;
  std::uint64_t configuration_floor = 0;
  std::vector<member> members;
  std::vector<heartbeat> heartbeats;
  // Reports, or in a reply the fleet's sums; see usage_ledger.
  std::vector<workspace_usage> usage;
  std::vector<endpoint_load> loads;
  // The sender's view: its version and hash, and its parts' hashes when it asks for repair.
  std::uint64_t view_version = 0;
  std::uint64_t view_hash = 0;
  std::vector<std::uint32_t> view_buckets;
  // The version of the receiver's view up to which the sender has every change.
  std::uint64_t seen_version = 0;
  // With this reply, the receiver has every change of the sender's view up to this version; 0 if
  // the reply says nothing of it.
  std::uint64_t covered_version = 0;

  friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

// A message to be sent; every one has a reply.
struct outgoing_gossip {
  daemon_id to;
  std::string peer_address;
  gossip_message message;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_MESSAGES_H_
