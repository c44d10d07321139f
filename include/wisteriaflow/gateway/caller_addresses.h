// Selects the daemon addresses that are returned to a caller when one answer cannot list them all.
//
// A caller learns only a few dozen of a fleet's hundreds of daemons. Every daemon has to be in the
// answer for some callers, or part of the fleet carries all calls while the rest is idle. The
// answer for one caller has to be the same from every daemon, because callers keep open connections
// to addresses that are missing from a newer answer. The daemons are therefore ranked for each
// availability zone of callers by rendezvous hashing. At most half of the answer comes from the
// callers' own zone, if the other zones have enough daemons, so that enough addresses remain when a
// zone is lost.
//
//   const auto addresses = addresses_for_callers(zone, peers.live(now), 64);

#ifndef WISTERIAFLOW_GATEWAY_CALLER_ADDRESSES_H_
#define WISTERIAFLOW_GATEWAY_CALLER_ADDRESSES_H_

#include <cstddef>
#include <span>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/gateway/peer_report.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

// Returns addresses for callers in `zone`: at most `max_addresses`, of those `daemons` that are
// ready. The result depends on the ids and zones of the daemons alone, not on their order in
// `daemons`.
[[nodiscard]] std::vector<http::socket_address>
addresses_for_callers(const availability_zone& zone, std::span<const daemon_contact> daemons,
                      std::size_t max_addresses);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_CALLER_ADDRESSES_H_
