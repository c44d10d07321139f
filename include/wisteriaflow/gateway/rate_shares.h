// This daemon's shares of the rates at which endpoints accept requests from the whole fleet.
//
// Sending a request needs no coordination. Among the daemons with recent reports of each other, a
// few hold a share of an endpoint's rate, selected by rendezvous hashing; the others send nothing
// there. The number of holders is bounded, since each may have saved up a request: if every daemon
// had a share, a large fleet would exceed a low rate by the number of daemons alone.
//
//   shares.set(endpoint, 1.5, now);
//   if (shares.next_allowed_at(endpoint, now) <= now) {
//     shares.take(endpoint, now);
//     ... send one request ...
//   }

#ifndef WISTERIAFLOW_GATEWAY_RATE_SHARES_H_
#define WISTERIAFLOW_GATEWAY_RATE_SHARES_H_

#include <cstddef>
#include <map>

#include "wisteriaflow/admission/rate_limit.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/fleet_view.h"

namespace wisteriaflow::gateway {

// Not thread-safe.
class rate_shares {
 public:
  explicit rate_shares(daemon_id self) : self_(std::move(self)) {}

  // Divides all rates again for a changed fleet. A share that this daemon did not hold before
  // starts without a saved-up request.
  void set_fleet(fleet_view fleet, mono_time now);

  // Sets the endpoint's rate, in requests/s from the whole fleet.
  void set(const endpoint_id& id, double rate, mono_time now);

  // Removes the endpoint's rate limit.
  void clear(const endpoint_id& id) { entries_.erase(id); }

  // When one more request may be sent: `now`, or later. If this daemon holds no share, the time at
  // which one of the holders may send its next request.
  [[nodiscard]] mono_time next_allowed_at(const endpoint_id& id, mono_time now) const;

  // Consumes one request of this daemon's share.
  void take(const endpoint_id& id, mono_time now);

  // Number of endpoints with a rate limit.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    double rate = 0; // requests/s from the whole fleet
    bool has_share = false;
    admission::rate_limit share{0, {}};
  };

  void assign_share(const endpoint_id& id, entry& it, mono_time now);

  daemon_id self_;
  fleet_view fleet_;
  std::map<endpoint_id, entry> entries_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RATE_SHARES_H_
