// Chooses the peer that carries a call to an endpoint to which this daemon has no link.
//
// Calls are spread over the peers by the number that each carries for this daemon, and no peer gets
// more than a bounded number: it serves callers of its own.
//
//   auto choice = relays.choose(live_peers, now);
//   if (auto* peer = std::get_if<daemon_contact>(&choice)) {
//     relays.on_started(peer->id);
//     ...
//     relays.on_ended(peer->id, relay_end::carried, now);
//   }

#ifndef WISTERIAFLOW_GATEWAY_RELAY_PEERS_H_
#define WISTERIAFLOW_GATEWAY_RELAY_PEERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <variant>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/peer_report.h"

namespace wisteriaflow::gateway {

struct relay_peer_options {
  availability_zone zone; // of this daemon
  std::uint64_t seed = 0;
  std::size_t max_calls_per_peer = 64;
  // Pauses after a peer had no room, and after it failed to answer.
  std::chrono::milliseconds pause_after_refusal{200};
  std::chrono::milliseconds pause_after_failure{1'000};
};

// Why no peer can carry a call now.
enum class no_relay_peer {
  none,    // no peer is known that could, or those that could have failed a moment ago
  no_room, // the peers that could carry it are full
};

// How a peer dealt with a call.
enum class relay_end {
  carried,   // it passed the call on, whatever became of it, or it had no link to the endpoint
  refused,   // it had no room
  no_answer, // the exchange with the peer failed
};

using relay_peer_choice = std::variant<daemon_contact, no_relay_peer>;

// Not thread-safe.
class relay_peers {
 public:
  explicit relay_peers(relay_peer_options options);

  // Chooses among the live daemons the one that carries the fewest calls for this daemon, in this
  // daemon's zone if there are several.
  [[nodiscard]] relay_peer_choice choose(std::span<const daemon_contact> live, mono_time now);

  void on_started(const daemon_id& peer) { ++states_[peer].calls; }
  void on_ended(const daemon_id& peer, relay_end end, mono_time now);

 private:
  struct peer_state {
    std::size_t calls = 0; // in flight
    mono_time refused_until;
    mono_time failed_until;
  };

  relay_peer_options options_;
  std::mt19937_64 random_;
  std::map<daemon_id, peer_state> states_;
};

// Whether the daemon can carry calls of others.
[[nodiscard]] inline bool can_relay(const daemon_contact& peer)
{
  return peer.ready && !peer.leaving && !peer.cut_off;
}

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RELAY_PEERS_H_
