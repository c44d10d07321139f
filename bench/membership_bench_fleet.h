// A fleet of pure daemons in one process, with simulated time, lost messages and dead daemons.

#ifndef WISTERIAFLOW_BENCH_MEMBERSHIP_BENCH_FLEET_H_
#define WISTERIAFLOW_BENCH_MEMBERSHIP_BENCH_FLEET_H_

#include "wisteriaflow/membership/gossip.h"
#include "wisteriaflow/membership/view.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace wisteriaflow::membership {

struct fleet_options {
  int daemons = 390;
  int endpoints = 2500;
  int zones = 11;
  int workspaces = 5;
  double loss = 0;
  std::uint64_t seed = 1;
};

class bench_fleet {
 public:
  explicit bench_fleet(const fleet_options& options);

  // Runs the daemons' timers and delivers messages, each `one_way_ms` after it was sent.
  void run_for(std::int64_t ms);

  // Tells `daemon` that a member leaves; it sends its first push.
  void announce(int daemon, const member_key& key, std::int64_t reclaim_in_ms);
  void kill(int daemon);

  // Milliseconds until every daemon alive knows that the member leaves; -1 if not within `limit`.
  std::int64_t run_until_known(const member_key& key, std::int64_t limit_ms);

  // Views among daemons alive that differ, by hash.
  [[nodiscard]] std::size_t distinct_views() const;

  // Bytes sent by each daemon since the last call, as protobuf and HTTP/2 would carry them.
  std::vector<std::uint64_t> take_bytes();
  [[nodiscard]] int suspected() const;
  [[nodiscard]] std::vector<int> alive() const;
  [[nodiscard]] membership_view& view(int i) { return *nodes_[i].view; }
  [[nodiscard]] std::int64_t now_ms() const { return now_ms_; }

 private:
  struct node {
    std::unique_ptr<membership_view> view;
    std::unique_ptr<gossiper> gossip;
    bool alive = true;
    std::uint64_t bytes = 0;
  };
  struct delivery {
    int from = 0;
    int to = 0;
    bool is_reply = false;
    gossip_message message;
  };

  void send(int from, std::vector<outgoing_gossip> messages);
  void post(delivery d);
  void deliver(const delivery& d);

  fleet_options options_;
  std::mt19937_64 random_;
  std::vector<node> nodes_;
  std::multimap<std::int64_t, delivery> in_flight_;
  std::int64_t now_ms_ = 0;
};

// The members of a fleet: daemon "d12" and endpoint "e345" with lasting attributes.
[[nodiscard]] member bench_daemon(int i, const fleet_options& options);
[[nodiscard]] member bench_endpoint(int i, const fleet_options& options);

// Size on the wire of one message.
[[nodiscard]] std::size_t wire_size_of(const gossip_message& message);

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_BENCH_MEMBERSHIP_BENCH_FLEET_H_
