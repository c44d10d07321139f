// Ejects endpoints for a limited time according to failures of this daemon's own calls (outlier
// ejection with exponential backoff).
//
//   if (health.on_failure(id, endpoint_failure::exchange_failed, now)) { ... log the ejection ... }
//   if (now < health.ejected_until(id)) { ... prefer other endpoints ... }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_HEALTH_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_HEALTH_H_

#include <chrono>
#include <map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// How an attempt at an endpoint failed.
enum class endpoint_failure {
  failed,          // an error answer, which the request may have caused
  exchange_failed, // connection lost, malformed answer or timeout
  unreachable,     // no connection: no process at the address, or a network failure
};

struct endpoint_health_options {
  // Duration of the first ejection, doubled by each further failure.
  std::chrono::milliseconds ejection_backoff{400};
  std::chrono::milliseconds max_ejection{3'000};
  // Each endpoint has a failure score. At `ejection_threshold` it is ejected; an error answer adds
  // 1, a lost connection or a timeout adds `ejection_threshold`, a success subtracts
  // `success_credit`. With 0.4, an endpoint that fails a seventh of its calls stays in use, and one
  // that fails three in ten is ejected.
  double ejection_threshold = 1.5;
  double success_credit = 0.4;
};

// Not thread-safe.
class endpoint_health {
 public:
  explicit endpoint_health(endpoint_health_options options) : options_(options) {}

  // Returns true if this failure newly ejects the endpoint.
  bool on_failure(const endpoint_id& id, endpoint_failure kind, mono_time now);
  // Lowers the failure score.
  void on_success(const endpoint_id& id);
  // Removes the state of an endpoint that is gone or has restarted.
  void forget(const endpoint_id& id) { known_.erase(id); }

  // When the ejection ends; the clock's epoch if there was none.
  [[nodiscard]] mono_time ejected_until(const endpoint_id& id) const;

  // Endpoints that were unreachable at a recent attempt.
  [[nodiscard]] std::vector<endpoint_id> unreachable(mono_time now) const;

 private:
  struct health_state {
    double failure_score = 0; // see `ejection_threshold`
    mono_time ejected_until;
    mono_time unreachable_until;
  };

  endpoint_health_options options_;
  std::map<endpoint_id, health_state> known_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_HEALTH_H_
