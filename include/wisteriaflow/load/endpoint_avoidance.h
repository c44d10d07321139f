// Decides which endpoints of a service the fleet avoids because they answer clearly fewer calls
// than the others do, from the evidence that endpoint_outcomes collects.
//
//   endpoint_avoidance avoidance({});
//   for (const auto& change : avoidance.update(endpoints_of_service, evidence, now)) { ... log it }
//   if (avoidance.is_avoided(id)) { ... prefer other endpoints, see usable_endpoints.h ... }

#ifndef WISTERIAFLOW_LOAD_ENDPOINT_AVOIDANCE_H_
#define WISTERIAFLOW_LOAD_ENDPOINT_AVOIDANCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <boost/unordered/unordered_flat_set.hpp>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/load/endpoint_outcomes.h"

namespace wisteriaflow::load {

struct endpoint_avoidance_options {
  // An endpoint is avoided only on failures that this many daemons have seen.
  std::uint32_t min_reporters = 2;
  // Minimum number of calls in the window, and of failed ones among them.
  std::uint32_t min_calls = 6;
  std::uint32_t min_failures = 4;
  // Share of calls that may fail beyond what fails at the best endpoints: requests may cause error
  // answers themselves.
  double tolerated_failures = 1.0 / 7;
  // The failures must exceed what is tolerated by this many standard deviations. With 2.5, twice as
  // many sound endpoints were avoided while requests failed a seventh of all calls.
  double min_deviations = 3;
  // No endpoint is avoided while even the best ones answer a smaller share: all fail alike, and the
  // cause is probably the network or the callers.
  double min_reference = 0.5;
  // Failures must be known for this long. Until then, daemons whose calls were answered there may
  // not have stated so, because they state only what they know to be in question.
  std::chrono::milliseconds settle_time{1'000};
  // An avoided endpoint is used again once its probes are this many times likelier if it answers
  // like the others than if it still fails as before.
  double min_recovery_odds = 100;
  // It is also used again after this time without known failures: the estimate is too old.
  std::chrono::milliseconds estimate_ttl{8'000};
  // Time in which the evidence counts calls; see endpoint_outcomes_options.
  std::chrono::milliseconds window{2'500};
  // Time constant of the estimates that tell which failures all endpoints have in common. Over a
  // window alone, a third of the endpoints have no failure by chance while all fail a seventh.
  std::chrono::milliseconds common_time{10'000};
};

// An endpoint is avoided from now on, or used again.
struct avoidance_change {
  endpoint_id id;
  bool avoided = false;
  double estimate = 1; // share of calls that it answers
  endpoint_evidence evidence;

  friend bool operator==(const avoidance_change&, const avoidance_change&) = default;
};

// Not thread-safe.
class endpoint_avoidance {
 public:
  explicit endpoint_avoidance(endpoint_avoidance_options options) : options_(options) {}

  // Updates the decisions for all endpoints of one service and returns those that changed.
  std::vector<avoidance_change> update(std::span<const endpoint_id> service,
                                       const evidence_map& evidence, mono_time now);

  // Removes the state of an endpoint that is gone or has restarted.
  void forget(const endpoint_id& id)
  {
    known_.erase(id);
    avoided_.erase(id);
  }

  [[nodiscard]] bool is_avoided(const endpoint_id& id) const { return avoided_.contains(id); }
  // Estimated share of calls that the endpoint answers; 1 if nothing speaks against it.
  [[nodiscard]] double estimate(const endpoint_id& id) const;
  [[nodiscard]] std::size_t avoided_count() const { return avoided_.size(); }

 private:
  struct endpoint_state {
    double estimate = 1; // over one window; while avoided: at the decision
    // Counts with exponential decay, for the estimate over a longer time.
    double long_answered = 0;
    double long_calls = 0;
    mono_time updated_at;
    bool avoided = false;
    std::optional<mono_time> failing_since; // failures are known since then
    std::optional<mono_time> clean_since;   // while avoided: none are known since then
    double recovery = 0; // while avoided: logarithm of the odds that it has recovered
  };

  // Part of a window between the last update and `now`.
  [[nodiscard]] double new_part(const endpoint_state& it, mono_time now) const;
  void update_estimates(endpoint_state& it, const endpoint_evidence& seen, mono_time now) const;
  // Share of calls that the best third of the endpoints answer: the lower one of the estimates over
  // a window, which follow a sudden failure of all endpoints, and over a longer time.
  [[nodiscard]] double reference(std::span<const endpoint_id> service) const;
  [[nodiscard]] bool is_failing(const endpoint_state& it, const endpoint_evidence& seen,
                                double reference, mono_time now) const;
  // Updates the odds of recovery by the new part of the evidence.
  void update_recovery(endpoint_state& it, const endpoint_evidence& seen, double reference,
                       mono_time now) const;
  [[nodiscard]] bool has_recovered(const endpoint_state& it, double reference, mono_time now) const;
  void change(const endpoint_id& id, endpoint_state& it, mono_time now);

  endpoint_avoidance_options options_;
  std::map<endpoint_id, endpoint_state> known_;
  // Those of `known_` that are avoided, for each choice of an endpoint.
  boost::unordered_flat_set<endpoint_id, std::hash<endpoint_id>> avoided_;
};

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_ENDPOINT_AVOIDANCE_H_
