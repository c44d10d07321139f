// The answer to a caller's question which daemon to use.
//
// A workspace's callers are kept on few daemons, more for a larger share, so that its prefixes meet
// again; among these the caller's availability zone goes first, and callers are spread by a
// rendezvous of caller and workspace.
//
//   address_book book({});
//   auto answer = book.addresses_for({.zone = zone, .workspace = w, .caller = "10.0.0.7"},
//                                    view.live_daemons(), now.wall);

#ifndef WISTERIAFLOW_MEMBERSHIP_ADDRESS_BOOK_H_
#define WISTERIAFLOW_MEMBERSHIP_ADDRESS_BOOK_H_

#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"

namespace wisteriaflow::membership {

struct address_book_options {
  std::size_t addresses = 3;
  // How long a caller keeps an answer.
  std::chrono::milliseconds kept_for{10'000};
  // A workspace with share s of the fleet's work is put on `headroom` × s × daemons of them, and
  // never under `fewest_daemons`.
  double headroom = 2;
  std::size_t fewest_daemons = 4;
};

struct address_query {
  availability_zone zone;
  workspace_id workspace;
  // Anything that tells callers apart, such as the address.
  std::string caller;
  // The workspace's part of the fleet's work, 0 to 1.
  double share = 0;
};

struct daemon_address {
  std::string address;
  availability_zone zone;

  friend bool operator==(const daemon_address&, const daemon_address&) = default;
};

struct address_answer {
  // Best first; empty only if no daemon is live.
  std::vector<daemon_address> addresses;
  wall_time good_until;

  friend bool operator==(const address_answer&, const address_answer&) = default;
};

class address_book {
 public:
  explicit address_book(address_book_options options) : options_(options) {}

  // `live_daemons` leaves out leaving and suspected ones; see membership_view::live_daemons.
  [[nodiscard]] address_answer addresses_for(const address_query& query,
                                             std::span<const member* const> live_daemons,
                                             wall_time now) const;

  // How many of `daemons` serve a workspace with this share.
  [[nodiscard]] std::size_t daemons_for(double share, std::size_t daemons) const;

 private:
  address_book_options options_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_ADDRESS_BOOK_H_
