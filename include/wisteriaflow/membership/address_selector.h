// Chooses the daemon addresses that a caller should use.
//
// A workspace's callers are sent to a few daemons, more for a workspace with a larger share of the
// work, so that its requests with the same prompt prefix meet at the same daemons. Among these
// daemons, those in the caller's availability zone come first, and callers are distributed by a
// rendezvous hash of caller and workspace.
//
//   address_selector selector({});
//   auto answer = selector.addresses_for({.zone = zone, .workspace = w, .caller = "10.0.0.7"},
//                                        view.live_daemons(), now.wall);

#ifndef WISTERIAFLOW_MEMBERSHIP_ADDRESS_SELECTOR_H_
#define WISTERIAFLOW_MEMBERSHIP_ADDRESS_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"

namespace wisteriaflow::membership {

struct address_selector_options {
  std::size_t max_addresses = 3;
  // How long a caller may use an answer before it asks again.
  std::chrono::milliseconds validity{10'000};
  // A workspace with share s of the fleet's work is assigned `headroom` × s × (number of daemons)
  // daemons, and at least `min_daemons`.
  double headroom = 2;
  std::size_t min_daemons = 4;
};

struct address_query {
  availability_zone zone;
  workspace_id workspace;
  // Any text that distinguishes callers, such as the address.
  std::string caller;
  // The workspace's share of the fleet's work, 0 to 1.
  double share = 0;
};

struct daemon_address {
  std::string address;
  availability_zone zone;

  friend bool operator==(const daemon_address&, const daemon_address&) = default;
};

struct address_answer {
  // In order of preference; empty only if no daemon is live.
  std::vector<daemon_address> addresses;
  wall_time valid_until;

  friend bool operator==(const address_answer&, const address_answer&) = default;
};

class address_selector {
 public:
  explicit address_selector(address_selector_options options) : options_(options) {}

  // Chooses addresses for a caller. `live_daemons` must not contain leaving or suspected daemons;
  // see membership_view::live_daemons.
  [[nodiscard]] address_answer addresses_for(const address_query& query,
                                             std::span<const member* const> live_daemons,
                                             wall_time now) const;

  // Returns how many of `daemons` serve a workspace with this share.
  [[nodiscard]] std::size_t daemon_count_for(double share, std::size_t daemons) const;

 private:
  address_selector_options options_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_ADDRESS_SELECTOR_H_
