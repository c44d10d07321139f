// Simulates the membership protocol of a fleet in one process: the membership view and gossiper of
// each daemon on a simulated clock, with lost messages and daemons that stop without notice.
//
//   bench_fleet fleet({.daemons = 50, .endpoints = 300});
//   fleet.run_for(10'000);
//   const auto sent = fleet.take_bytes();

#ifndef WISTERIAFLOW_BENCH_MEMBERSHIP_BENCH_FLEET_H_
#define WISTERIAFLOW_BENCH_MEMBERSHIP_BENCH_FLEET_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "wisteriaflow/membership/gossip.h"
#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

struct fleet_options {
  int daemons = 390;
  int endpoints = 2500;
  int zones = 11;
  int workspaces = 5;
  double loss = 0;
  std::uint64_t seed = 1;
};

// Parts of a gossip message for which bytes are counted. `headers` is framing, ids and versions.
// `urgent`, `exchange` and `repair` are member records in urgent updates, in regular exchanges and
// in replies to repair requests. `buckets` are the view's partial hashes in a repair request.
enum class wire_part : std::uint8_t {
  headers,
  urgent,
  exchange,
  repair,
  buckets,
  heartbeats,
  usage,
  loads
};
inline constexpr std::array wire_part_names = {"headers", "urgent",     "news",  "repair",
                                               "buckets", "heartbeats", "usage", "loads"};

// Bytes of each wire_part, in protobuf encoding with HTTP/2 framing.
using wire_bytes = std::array<std::uint64_t, wire_part_names.size()>;

class bench_fleet {
 public:
  explicit bench_fleet(const fleet_options& options);

  // Advances the clock, running the daemons' timers and delivering each message 10 ms after it was
  // sent.
  void run_for(std::int64_t ms);

  // Marks a member as leaving in the view of `daemon`, which sends its first urgent update.
  void mark_leaving(int daemon, const member_key& key, std::int64_t reclaim_in_ms);
  void kill(int daemon);

  // Returns whether every running daemon knows that the member is leaving.
  [[nodiscard]] bool is_known_to_all(const member_key& key) const;

  // Returns whether no running daemon knows that the member is leaving.
  [[nodiscard]] bool is_known_to_none(const member_key& key) const;

  // Runs until every running daemon knows that the member is leaving. Returns the milliseconds that
  // this took, or -1 after `limit_ms`.
  std::int64_t run_until_known(const member_key& key, std::int64_t limit_ms);

  // Returns the number of different view hashes among the running daemons.
  [[nodiscard]] std::size_t distinct_views() const;

  // Bytes sent since the last call of take_bytes: by all daemons together, and by the one that sent
  // most.
  struct sent_bytes {
    wire_bytes total{};
    std::uint64_t max_per_daemon = 0;
  };
  sent_bytes take_bytes();

  // Numbers of pairs of a running daemon and a peer that it suspects or considers gone, by whether
  // that peer is in fact alive or dead.
  struct failure_detections {
    int suspected_alive = 0;
    int suspected_dead = 0;
    int gone_alive = 0;
    int gone_dead = 0;
  };
  [[nodiscard]] failure_detections count_failure_detections() const;
  [[nodiscard]] int alive() const;

 private:
  struct node {
    std::unique_ptr<membership_view> view;
    std::unique_ptr<gossiper> gossip;
    bool alive = true;
    wire_bytes bytes{};
  };
  struct delivery {
    int from = 0;
    int to = 0;
    bool is_reply = false;
    // Set on a reply to a repair request.
    bool is_repair = false;
    gossip_message message;
  };

  void add_node(int i, const std::vector<member>& list);
  void send(int from, std::vector<outgoing_gossip> messages);
  void enqueue(delivery d);
  void deliver(const delivery& d);

  fleet_options options_;
  std::mt19937_64 random_;
  std::vector<node> nodes_;
  // The endpoints in each daemon's subset, by daemon.
  std::vector<std::set<endpoint_id>> reached_endpoints_;
  std::multimap<std::int64_t, delivery> in_flight_;
  std::int64_t now_ms_ = 0;
};

// Return the member records of the fleet, such as daemon "d12" and endpoint "e345".
[[nodiscard]] member bench_daemon(int i, const fleet_options& options);
[[nodiscard]] member bench_endpoint(int i, const fleet_options& options);

// Returns the endpoint subset of each daemon.
[[nodiscard]] std::vector<std::set<endpoint_id>> bench_subsets(const fleet_options& options);

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_BENCH_MEMBERSHIP_BENCH_FLEET_H_
