// Endpoints that are leaving or were removed. They are remembered, so that an outdated description
// doesn't bring an endpoint back, and gossiped to peers for a limited time.
//
//   departures left(gossip_duration);
//   left.record({.id = id, .revision = revision}, now);
//   if (left.had_departed(id, record.revision)) { ... the record is outdated ... }

#ifndef WISTERIAFLOW_GATEWAY_DEPARTURES_H_
#define WISTERIAFLOW_GATEWAY_DEPARTURES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// The departure of an endpoint as of a revision of the store.
struct endpoint_departure {
  endpoint_id id;
  std::uint64_t revision = 0;

  friend bool operator==(const endpoint_departure&, const endpoint_departure&) = default;
};

// Not thread-safe.
class departures {
 public:
  // Departures are gossiped to all peers for `gossip_duration`, which must be well above the time
  // that gossip takes. A daemon that has missed one for longer detects this from the revision of
  // its endpoint view, and asks for it.
  explicit departures(std::chrono::milliseconds gossip_duration) : gossip_duration_(gossip_duration)
  {
  }

  // Records a departure; ignored unless its revision is higher than the known one.
  void record(const endpoint_departure& d, mono_time now);

  // Whether a departure of the endpoint is known at `revision` or later.
  [[nodiscard]] bool had_departed(const endpoint_id& id, std::uint64_t revision) const;

  // Departures to gossip to peers now.
  [[nodiscard]] std::vector<endpoint_departure> to_gossip(mono_time now) const;

  // Departures after `revision`, for a peer whose endpoint view is at that revision.
  [[nodiscard]] std::vector<endpoint_departure> since(std::uint64_t revision) const;

  // Endpoints that departed so long ago that the last requests there have ended.
  [[nodiscard]] std::vector<endpoint_id> completed(mono_time now) const;

  // Removes departures that no outdated list can contradict any more.
  void remove_expired(mono_time now);

 private:
  struct entry {
    std::uint64_t revision = 0;
    mono_time recorded_at;
  };

  std::chrono::milliseconds gossip_duration_;
  std::map<endpoint_id, entry> entries_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_DEPARTURES_H_
