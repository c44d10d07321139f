// Sums of the work that the other daemons report, by endpoint and by service.
//
// The sums are updated when a report arrives instead of being computed for each query: with 195
// peers and 130 endpoints that took 25,000 lookups by name two and a half times per second.
//
//   peer_work_totals peers(3'500ms);
//   peers.on_work(daemon, work, now);
//   peers.expire(now);                            // a few times per second
//   const auto others = peers.total_at(endpoint); // calls of all peers there

#ifndef WISTERIAFLOW_GATEWAY_PEER_WORK_TOTALS_H_
#define WISTERIAFLOW_GATEWAY_PEER_WORK_TOTALS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <boost/unordered/unordered_flat_map.hpp>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/demand_meter.h"
#include "wisteriaflow/gateway/endpoint_work.h"

namespace wisteriaflow::gateway {

// Not thread-safe.
class peer_work_totals {
 public:
  // A report of a peer counts for `valid_for`.
  explicit peer_work_totals(std::chrono::milliseconds valid_for) : valid_for_(valid_for) {}

  // Replaces a peer's work, or its demand for prompt tokens, by what it stated at `as_of`. A
  // statement older than the present one is ignored.
  void on_work(const daemon_id& peer, endpoint_work_map work, mono_time as_of);
  void on_prefill(const daemon_id& peer, prefill_demand demand, mono_time as_of);

  // Drops what peers reported about the endpoint, because it has restarted: the reports were about
  // the process before.
  void forget_endpoint(const endpoint_id& id);

  // Drops the reports that are no longer valid at `now`.
  void expire(mono_time now);

  // Work of all peers at an endpoint, as of the last `expire`.
  [[nodiscard]] endpoint_work total_at(const endpoint_id& id) const;

  // Last report of one peer, as of the last `expire`; empty if it is no longer valid.
  [[nodiscard]] endpoint_work_map work_of(const daemon_id& peer) const;
  [[nodiscard]] prefill_demand prefill_of(const daemon_id& peer) const;

  // Prompt tokens per second that all peers send to `service`, as of the last `expire`.
  [[nodiscard]] double total_prefill(std::string_view service) const;

  // Number of peers with a valid report, as of the last `expire`.
  [[nodiscard]] std::size_t peer_count() const { return reports_.size(); }

 private:
  struct reported_work {
    endpoint_work_map work;
    prefill_demand prefill;
    mono_time valid_until;
  };

  void add(const endpoint_work_map& work);
  void subtract(const endpoint_work_map& work);

  std::chrono::milliseconds valid_for_;
  boost::unordered_flat_map<daemon_id, reported_work, std::hash<daemon_id>> reports_;
  boost::unordered_flat_map<endpoint_id, endpoint_work, std::hash<endpoint_id>> totals_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PEER_WORK_TOTALS_H_
