// This daemon's shares of the places at endpoints that must not be overloaded.
//
// The places of an endpoint are divided among the daemons that may be running, by rendezvous
// hashing, so that all daemons together never send it more requests than it can run at the same
// time, and no question has to be asked before a request. A daemon without a free place of its own
// passes the request on through a peer that holds one.
//
// Daemons may know different fleets for a moment. A daemon therefore gives up a place as soon as
// another daemon may hold it, and takes one over only some seconds later.
//
//   place_shares places(self);
//   places.set_fleet(fleet, now);
//   if (places.has_free_place(endpoint, now)) {
//     places.on_sent(endpoint.process);
//     ... send the request ...
//     places.on_ended(endpoint.process, request_end::completed, now);
//   }

#ifndef WISTERIAFLOW_GATEWAY_PLACE_SHARES_H_
#define WISTERIAFLOW_GATEWAY_PLACE_SHARES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/fleet_view.h"

namespace wisteriaflow::gateway {

// An endpoint and the number of requests that it runs concurrently.
struct endpoint_places {
  endpoint_process process;
  std::uint32_t places = 0;

  friend bool operator==(const endpoint_places&, const endpoint_places&) = default;
};

// How a request at an endpoint ended for the daemon that sent it.
enum class request_end {
  completed, // the endpoint has ended it
  abandoned, // the daemon gave it up: the endpoint may work on for a moment
};

// Not thread-safe.
class place_shares {
 public:
  explicit place_shares(daemon_id self) : self_(std::move(self)) {}

  // Sets the daemons that share the places.
  void set_fleet(const fleet_view& fleet, mono_time now);

  // Number of places that this daemon may occupy.
  [[nodiscard]] std::uint32_t share_of(const endpoint_places& endpoint, mono_time now);

  // Whether this daemon may send one more request.
  [[nodiscard]] bool has_free_place(const endpoint_places& endpoint, mono_time now);

  // Live peers that hold a place, by this daemon's knowledge.
  [[nodiscard]] std::vector<daemon_id> holders_of(const endpoint_places& endpoint) const;

  // Every request that this daemon sends to an endpoint counts, whether or not its places are
  // shared at the time.
  void on_sent(const endpoint_process& process) { ++usage_[process].in_progress; }
  void on_ended(const endpoint_process& process, request_end end, mono_time now);

  // The endpoint rejected a request of this daemon for want of room: it has less room than was
  // shared. Keeps the daemons that hold its places from being rejected more than
  // `rejections_per_second` times in total from now on.
  void on_rejected(const endpoint_places& endpoint, double rejections_per_second, mono_time now);

  // The endpoint is gone.
  void forget(const endpoint_id& id) { assigned_.erase(id); }

  // Removes what has no effect any more. Call this a few times a second.
  void tick(mono_time now);

 private:
  // The daemons that may be running, as this one knew them until the next view.
  struct view {
    std::vector<daemon_id> others;
    std::size_t unknown = 0; // further daemons whose ids are not known
    mono_time since;
  };

  // This daemon's places by each recent view.
  struct assigned_places {
    std::uint32_t places = 0; // of the endpoint
    std::uint64_t first_view = 0;
    std::deque<std::uint32_t> by_view;
  };

  struct usage {
    std::uint32_t in_progress = 0;
    std::vector<mono_time> abandoned_until; // when the place of each abandoned request is free
    mono_time rejected_until;
  };

  [[nodiscard]] std::uint32_t assigned_to_self(const endpoint_places& endpoint,
                                               const view& v) const;
  void drop_outdated_views(mono_time now);

  daemon_id self_;
  std::vector<daemon_id> live_peers_;
  // Consecutive numbers; the last one is in force. Before the first, this daemon holds nothing.
  std::deque<view> views_;
  std::uint64_t first_view_ = 0;
  mono_time holds_nothing_until_ = mono_time::max();
  std::map<endpoint_id, assigned_places> assigned_;
  std::map<endpoint_process, usage> usage_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PLACE_SHARES_H_
