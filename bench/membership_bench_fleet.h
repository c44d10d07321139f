// A fleet of pure daemons in one process, with simulated time, lost messages and dead daemons.

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

// Parts of messages: framing with names and versions; records in urgent pushes, in exchanges and in
// replies to who asked for repair; the views' parts' hashes of who asks.
enum class wire_part : std::uint8_t {
  headers,
  urgent,
  news,
  repair,
  buckets,
  heartbeats,
  usage,
  loads
};
inline constexpr std::array wire_part_names = {"headers", "urgent",     "news",  "repair",
                                               "buckets", "heartbeats", "usage", "loads"};

// Bytes of each part, as protobuf and HTTP/2 would carry them.
using wire_bytes = std::array<std::uint64_t, wire_part_names.size()>;

class bench_fleet {
 public:
  explicit bench_fleet(const fleet_options& options);

  // Runs the daemons' timers and delivers messages, each 10 ms after it was sent.
  void run_for(std::int64_t ms);

  // Tells `daemon` that a member leaves; it sends its first push.
  void announce(int daemon, const member_key& key, std::int64_t reclaim_in_ms);
  void kill(int daemon);

  // Whether every daemon alive knows that the member leaves.
  [[nodiscard]] bool is_known(const member_key& key) const;

  // Whether no daemon alive does.
  [[nodiscard]] bool is_lost(const member_key& key) const;

  // Milliseconds until every daemon alive knows that the member leaves; -1 if not within `limit`.
  std::int64_t run_until_known(const member_key& key, std::int64_t limit_ms);

  // Views among daemons alive that differ, by hash.
  [[nodiscard]] std::size_t distinct_views() const;

  // Bytes sent since the last call: by all daemons, and by the one that sent most.
  struct sent_bytes {
    wire_bytes all{};
    std::uint64_t most = 0;
  };
  sent_bytes take_bytes();

  // Pairs of a daemon alive and a peer that it suspects, and that it takes for gone.
  struct opinions {
    int suspected_alive = 0;
    int suspected_dead = 0;
    int gone_alive = 0;
    int gone_dead = 0;
  };
  [[nodiscard]] opinions count_opinions() const;
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
    // A reply to who asked for repair.
    bool is_repair = false;
    gossip_message message;
  };

  void add_node(int i, const std::vector<member>& list);
  void send(int from, std::vector<outgoing_gossip> messages);
  void post(delivery d);
  void deliver(const delivery& d);

  fleet_options options_;
  std::mt19937_64 random_;
  std::vector<node> nodes_;
  // The endpoints that each daemon reaches.
  std::vector<std::set<endpoint_id>> held_;
  std::multimap<std::int64_t, delivery> in_flight_;
  std::int64_t now_ms_ = 0;
};

// The members of a fleet: daemon "d12" and endpoint "e345" with lasting attributes.
[[nodiscard]] member bench_daemon(int i, const fleet_options& options);
[[nodiscard]] member bench_endpoint(int i, const fleet_options& options);

// The subset of each daemon.
[[nodiscard]] std::vector<std::set<endpoint_id>> bench_subsets(const fleet_options& options);

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_BENCH_MEMBERSHIP_BENCH_FLEET_H_
