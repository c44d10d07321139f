// Chooses the peers that a daemon exchanges reports with in each gossip round.
//
// In a small fleet every daemon asks all others in every round. In a large fleet each daemon asks a
// few peers per round, those with the oldest report first, and relays what it received, so that the
// state of every peer arrives within a few rounds by way of others. In a fleet of hundreds it asks
// the same few neighbours in turn, so that connections are used again; the neighbours of all
// daemons together connect the fleet at random. Beside that, it regularly asks one of a few daemons
// that pass on counters to the leader and what was read from the store: the coordinators, or the
// relays of a large fleet.
//
//   gossip_scheduler scheduler({.period = 400ms}, 1);
//   const auto known = table.addresses_to_contact(now);
//   const auto targets = scheduler.next_targets(known, {coordinators, fleet_size}, now);
//   scheduler.on_report(targets.front(), later);

#ifndef WISTERIAFLOW_GATEWAY_GOSSIP_SCHEDULER_H_
#define WISTERIAFLOW_GATEWAY_GOSSIP_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

struct gossip_scheduler_options {
  // Time between two rounds.
  std::chrono::milliseconds period{400};
  // A fleet of up to this many peers asks all of them in each round.
  std::size_t full_mesh_limit = 8;
  // Peers asked per round in a larger fleet. It is small because each exchange transfers a report
  // in both directions.
  std::size_t fanout = 3;
  // A daemon with more peers than `max_rotating_peers` asks only its `neighbours`, and another peer
  // every `exploration_rounds` rounds, which connects parts of the fleet that were separated.
  std::size_t max_rotating_peers = 250;
  std::size_t neighbours = 16;
  std::size_t neighbour_fanout = 2; // peers asked per round, after the start
  // A new daemon asks `fanout` peers for this long, to learn of the fleet.
  std::chrono::milliseconds start_duration{5'000};
  unsigned exploration_rounds = 5;
  std::chrono::milliseconds neighbour_lifetime{5'000}; // until they are chosen again
  // Peers that receive an urgent update at once.
  std::size_t urgent_fanout = 6;
  // Time between two requests to regular targets. With three coordinators each of them gets a
  // report of each daemon within four seconds, and the endpoint view of every daemon is at most two
  // seconds old, which is the age at which the daemon would read the store itself.
  std::chrono::milliseconds regular_period{800};
  // The same per daemon that asks these targets; the longer of the two periods applies. It bounds
  // the requests that a target receives.
  std::chrono::milliseconds regular_period_per_asker{4};
  // An address that left n requests unanswered is asked only in every n-th round.
  unsigned silent_backoff_rounds = 5;
};

// Daemons that are asked regularly.
struct regular_targets {
  std::vector<http::socket_address> addresses;
  std::size_t askers = 1; // number of daemons that ask them
};

// Not thread-safe.
class gossip_scheduler {
 public:
  gossip_scheduler(gossip_scheduler_options options, std::uint64_t seed)
      : options_(options), random_(seed), seed_(seed)
  {
  }

  // Whether a fleet of this many daemons is too large for asking all peers in every round.
  [[nodiscard]] bool is_large(std::size_t daemons) const
  {
    return daemons > options_.full_mesh_limit + 1;
  }

  // Returns those of `addresses` to ask in a regular round, and in addition, once per regular
  // period, the one of `regular` with the oldest report. Leaves out peers that reported within half
  // a period, since they have just asked this daemon.
  [[nodiscard]] std::vector<http::socket_address>
  next_targets(std::vector<http::socket_address> addresses, const regular_targets& regular,
               mono_time now);

  // Returns the targets of an urgent update: a random choice, whether or not a peer has just
  // reported or is silent.
  [[nodiscard]] std::vector<http::socket_address>
  next_urgent_targets(std::vector<http::socket_address> addresses);

  // Records that a report of the daemon at `peer` has arrived.
  void on_report(const http::socket_address& peer, mono_time now);

 private:
  struct peer_state {
    mono_time answered_at;   // time of the last report; the clock's epoch: never
    unsigned unanswered = 0; // requests since then
  };

  [[nodiscard]] peer_state state_of(const http::socket_address& peer) const;
  [[nodiscard]] bool is_due(const peer_state& it, mono_time now) const;
  // Number of peers to ask in a round, of `peers`.
  [[nodiscard]] std::size_t fanout(std::size_t peers, mono_time now) const;
  // Returns the regular target to ask next; none if one was asked less than a period ago.
  std::optional<http::socket_address> regular_target_to_ask(const regular_targets& regular,
                                                            mono_time now);
  void record_asked(const std::vector<http::socket_address>& peers);
  // Returns those of `addresses` that may be asked in this round; `addresses` are shuffled.
  [[nodiscard]] std::vector<http::socket_address>
  candidates(std::vector<http::socket_address> addresses, mono_time now);
  void choose_neighbours(const std::vector<http::socket_address>& addresses, mono_time now);

  gossip_scheduler_options options_;
  std::mt19937_64 random_;
  std::map<http::socket_address, peer_state> states_;
  std::uint64_t seed_;
  mono_time started_at_; // time of the first round
  std::vector<http::socket_address> neighbours_;
  std::size_t chosen_among_ = 0; // number of addresses that the neighbours were chosen from
  mono_time neighbours_until_;
  mono_time regular_asked_at_;
  unsigned round_ = 0;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_GOSSIP_SCHEDULER_H_
