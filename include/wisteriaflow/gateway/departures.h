// Endpoints that are leaving or were removed. They are remembered, so that an outdated description
// doesn't bring an endpoint back, and gossiped to peers for a limited time.
//
// A store that was restored from a copy describes endpoints as they were before they departed. A
// departure therefore holds in all later eras for the same process.
//
//   departures left(gossip_duration);
//   left.record({.id = id, .revision = revision}, incarnation, now);
//   if (left.had_departed(process, record.revision)) { ... the record is outdated ... }

#ifndef WISTERIAFLOW_GATEWAY_DEPARTURES_H_
#define WISTERIAFLOW_GATEWAY_DEPARTURES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::gateway {

// The departure of an endpoint as of a revision of the store.
struct endpoint_departure {
  endpoint_id id;
  store_revision revision;

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

  // Records a departure; ignored unless its revision is higher than the known one. `incarnation` is
  // that of the process that departed; 0: unknown. `in_use`: this daemon did not know yet that the
  // process leaves. The removal of an endpoint that had said so is not gossiped again.
  void record(const endpoint_departure& d, std::uint64_t incarnation, bool in_use, mono_time now);

  // Whether this departure of the endpoint, or a later one, is recorded.
  [[nodiscard]] bool is_recorded(const endpoint_departure& d) const;

  // Whether the description of the process that the store had at `revision` is outdated: a
  // departure of the endpoint is known at that revision or later, or of the same process in an
  // earlier era.
  [[nodiscard]] bool had_departed(const endpoint_process& process, store_revision revision) const;

  // Departures to gossip to peers now: the recent ones, and all after `after` unless that is 0.
  [[nodiscard]] std::vector<endpoint_departure> to_gossip(store_revision after,
                                                          mono_time now) const;

  // Departures after `revision`, for a peer whose endpoint view is at that revision.
  [[nodiscard]] std::vector<endpoint_departure> since(store_revision revision) const;

  // Endpoints that departed so long ago that the last requests there have ended.
  [[nodiscard]] std::vector<endpoint_id> completed(mono_time now) const;

  // Removes departures that no outdated list can contradict any more.
  void remove_expired(mono_time now);

 private:
  struct entry {
    store_revision revision;
    std::uint64_t incarnation = 0; // of the process that departed; 0: unknown
    mono_time recorded_at;
  };

  std::chrono::milliseconds gossip_duration_;
  std::map<endpoint_id, entry> entries_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_DEPARTURES_H_
