// Chooses the daemons that keep the origin of a stream for the daemon that began it.
//
// Every daemon computes the same order of the daemons for a stream, so the one at which the stream
// is resumed finds the holders without having heard of them. The order goes round the availability
// zones, so that the loss of one zone leaves the others.
//
//   auto order = order_holders(stream, live_daemons);
//   const auto holders = choose_holders(order, own_zone, 3); // when the stream starts
//   ... query the first daemons of `order` ...               // when it is resumed

#ifndef WISTERIAFLOW_GATEWAY_ORIGIN_HOLDERS_H_
#define WISTERIAFLOW_GATEWAY_ORIGIN_HOLDERS_H_

#include <cstddef>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/gateway/peer_report.h"
#include "wisteriaflow/gateway/stream_origins.h"

namespace wisteriaflow::gateway {

// Sorts the daemons: the first one of each zone, then the second one of each zone, and so on.
[[nodiscard]] std::vector<daemon_contact> order_holders(const stream_id& stream,
                                                        std::vector<daemon_contact> daemons);

// Returns up to `count` daemons that do not drain, in this order; those of `own_zone`, which may be
// lost together with the calling daemon, only if there are too few others.
[[nodiscard]] std::vector<daemon_contact> choose_holders(const std::vector<daemon_contact>& order,
                                                         const availability_zone& own_zone,
                                                         std::size_t count);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ORIGIN_HOLDERS_H_
