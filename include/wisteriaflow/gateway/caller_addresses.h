// Which daemons a caller is told to connect to, where an answer cannot hold them all.
//
// A fleet of hundreds before callers that learn a few dozen addresses each: every daemon has to be
// among somebody's, or a part of the fleet carries all calls while the rest stands idle. And the
// answer for one caller has to stay the same, whichever daemon gives it, since callers leave open
// connections to addresses that are missing from a newer answer. So the daemons are ranked for each
// availability zone of callers by rendezvous hashing: half of the answer from the callers' own zone
// at the most, the rest from the others, of which a zone's loss leaves enough.
//
//   const auto told = addresses_for_callers(zone, peers.live(now), 64);

#ifndef WISTERIAFLOW_GATEWAY_CALLER_ADDRESSES_H_
#define WISTERIAFLOW_GATEWAY_CALLER_ADDRESSES_H_

#include <cstddef>
#include <span>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/gateway/peer_report.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

// Addresses for callers in `zone`, at most `most`, of those `daemons` that are ready. Which they
// are depends on the ids and zones alone, not on the order of `daemons`.
[[nodiscard]] std::vector<http::socket_address>
addresses_for_callers(const availability_zone& zone, std::span<const daemon_contact> daemons,
                      std::size_t most);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CALLER_ADDRESSES_H_
