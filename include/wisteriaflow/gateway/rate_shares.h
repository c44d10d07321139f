// This daemon's shares of the rates at which endpoints take requests from the whole fleet.
//
// Nobody is asked for a request. Of the daemons that hear each other a few hold a share of an
// endpoint's rate, by rendezvous hashing; the others send nothing there. Their number is bounded,
// since each may have saved up a request: with a share for every daemon a large fleet would exceed
// a low rate by their number alone.
//
//   shares.set(endpoint, 1.5, now);
//   if (shares.open_at(endpoint, now) <= now) {
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

  // Divides all rates anew. A share that is new here begins without a request saved up.
  void set_fleet(fleet_view fleet, mono_time now);

  // From now on the endpoint takes `rate` requests a second of the whole fleet.
  void set(const endpoint_id& id, double rate, mono_time now);

  // It takes any number.
  void clear(const endpoint_id& id) { entries_.erase(id); }

  // When one more request may be sent: `now`, or later. Where this daemon holds no share, the time
  // at which one of those that do may send the next.
  [[nodiscard]] mono_time open_at(const endpoint_id& id, mono_time now) const;

  // A request is sent.
  void take(const endpoint_id& id, mono_time now);

  // Endpoints whose rate is kept.
  [[nodiscard]] std::size_t number() const { return entries_.size(); }

 private:
  struct entry {
    double rate = 0; // requests/s, of the whole fleet
    bool held = false;
    admission::rate_limit share{0, {}};
  };

  void divide(const endpoint_id& id, entry& it, mono_time now);

  daemon_id self_;
  fleet_view fleet_;
  std::map<endpoint_id, entry> entries_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RATE_SHARES_H_
