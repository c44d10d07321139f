// The network links from one daemon to the endpoints.
//
// A link is a property of a daemon and an endpoint: a daemon that cannot connect to an endpoint
// knows nothing about the endpoint, only that this link is lost. Calls over a lost link go through
// a peer; see relay_peers.h. A daemon that loses all links at once does not find out link by link:
// failures at a few endpoints, with no bytes received from any endpoint since, stand for all.
//
//   if (links.on_connect_failure(id, began_at, now)) { ... the link is newly lost ... }
//   if (links.is_lost(id)) { ... send the call through a peer ... }
//   for (const auto& id : links.take_due_probes(known, now)) {
//     connects ? links.on_connected(id, now) : links.on_connect_failure(id, began_at, now);
//   }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_LINKS_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_LINKS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

struct endpoint_link_options {
  std::uint64_t seed = 0;
  // Failed connections to this many endpoints, and no byte from any endpoint since the first of
  // them began, mean that the links to all endpoints are lost.
  std::size_t cut_off_failures = 3;
  // Period of the connections that test a lost link. It doubles with each failure up to the limit.
  std::chrono::milliseconds probe_period{300};
  std::chrono::milliseconds max_probe_period{1'200};
  // A lost link is used again after this many successful probes in a row, so that a link that comes
  // and goes carries no calls.
  unsigned probes_to_restore = 2;
  // Links tested at a time.
  std::size_t max_probes = 4;
};

// Not thread-safe.
class endpoint_links {
 public:
  explicit endpoint_links(endpoint_link_options options);

  // A connection to the endpoint that was begun at `began_at` could not be opened. Returns whether
  // its link was not known to be lost.
  bool on_connect_failure(const endpoint_id& id, mono_time began_at, mono_time now);

  // The endpoint accepted a connection that tested its link. Returns whether the link is restored
  // by it.
  bool on_probe_success(const endpoint_id& id, mono_time now);

  // Peers cannot connect to the endpoint either, so that its link is not to blame.
  void on_endpoint_unreachable(const endpoint_id& id) { lost_.erase(id); }

  // Bytes arrived from any endpoint over a link of this daemon. It does not restore a lost link:
  // open connections may live on while new ones fail.
  void on_received(mono_time now);

  // Whether calls should not be sent over the link to the endpoint.
  [[nodiscard]] bool is_lost(const endpoint_id& id) const { return cut_off_ || lost_.contains(id); }

  // Whether this daemon seems to have lost its links to all endpoints.
  [[nodiscard]] bool is_cut_off() const { return cut_off_; }

  // Number of links found lost by failed connections of their own.
  [[nodiscard]] std::size_t lost_count() const { return lost_.size(); }

  // When bytes last arrived over any link.
  [[nodiscard]] mono_time last_received_at() const { return last_received_at_; }

  // The endpoints among `known`, which is sorted, whose links are to be tested now. Others are
  // forgotten. A daemon that is cut off tests one link at a time: the first that works shows that
  // it is no longer cut off.
  [[nodiscard]] std::vector<endpoint_id> take_due_probes(std::span<const endpoint_id> known,
                                                         mono_time now);

 private:
  struct lost_link {
    mono_time began_at; // of the last failed connection
    mono_time next_probe_at;
    unsigned failures = 0;
    unsigned successes = 0; // probes in a row
  };

  [[nodiscard]] std::chrono::milliseconds probe_delay(unsigned failures);
  void end_cut_off(mono_time now);

  endpoint_link_options options_;
  std::mt19937_64 random_;
  std::map<endpoint_id, lost_link> lost_;
  bool cut_off_ = false;
  mono_time next_cut_off_probe_at_;
  mono_time last_received_at_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_LINKS_H_
