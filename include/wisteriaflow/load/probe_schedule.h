// Decides when this daemon sends a call to an avoided endpoint to learn whether it answers again.
// The daemons of a fleet share the probes of an endpoint, each at random times.
//
//   probe_schedule probes(seed);
//   probes.on_call();
//   if (probes.take(id, {.daemons = 58, .avoided = 8, .may_be_repeated = true}, now)) { ... }

#ifndef WISTERIAFLOW_LOAD_PROBE_SCHEDULE_H_
#define WISTERIAFLOW_LOAD_PROBE_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::load {

// What the frequency of probes depends on.
struct probe_terms {
  std::size_t daemons = 1; // live ones, which share the probes
  std::size_t avoided = 1; // avoided endpoints
  bool may_be_repeated = false;
};

struct probe_schedule_options {
  // Probes of the whole fleet, for one endpoint and for all of them.
  double probes_per_second = 2;
  double all_probes_per_second = 12;
  // At most this part of a daemon's calls are probes.
  double max_call_share = 0.04;
  // A probe uses a call that may not be repeated only if no other came for this long.
  std::chrono::milliseconds repeatable_wait{1'500};
};

// Not thread-safe.
class probe_schedule {
 public:
  explicit probe_schedule(std::uint64_t seed, probe_schedule_options options = {})
      : options_(options), random_(seed)
  {
  }

  // Counts a call of this daemon that could be a probe.
  void on_call();

  // Whether the present call is used to probe the endpoint.
  [[nodiscard]] bool take(const endpoint_id& id, const probe_terms& terms, mono_time now);

  // Forgets an endpoint that is not avoided any more.
  void forget(const endpoint_id& id) { next_.erase(id); }

 private:
  [[nodiscard]] mono_time draw_next(const probe_terms& terms, mono_time now);

  probe_schedule_options options_;
  std::mt19937_64 random_;
  std::map<endpoint_id, mono_time> next_;
  double credit_ = 0; // probes that the share of the calls allows now
};

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_PROBE_SCHEDULE_H_
