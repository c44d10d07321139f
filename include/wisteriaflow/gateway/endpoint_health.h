// Which endpoints this daemon leaves out for a while, by how its own calls fared there.

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_HEALTH_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_HEALTH_H_

#include <chrono>
#include <map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// How an endpoint failed an attempt.
enum class endpoint_trouble {
  failed,      // its own failure, which may be the request's fault
  broken,      // a cut, garbage, silence
  unreachable, // no connection: nobody is there, or the way is cut
};

struct endpoint_health_options {
  // After trouble with an endpoint it is left out this long, doubled for each further trouble.
  std::chrono::milliseconds trouble_backoff{400};
  std::chrono::milliseconds trouble_backoff_limit{3'000};
  // An endpoint's trouble is a score: `trouble_limit` leaves it out, a failure of its own adds 1, a
  // cut or silence adds `trouble_limit`, a success takes `success_relief` off. With 0.4, one that
  // fails a seventh of its calls stays in, and one that fails three in ten goes out.
  double trouble_limit = 1.5;
  double success_relief = 0.4;
};

// Not thread-safe.
class endpoint_health {
 public:
  explicit endpoint_health(endpoint_health_options options) : options_(options) {}

  // True if the endpoint is left out from now on.
  bool on_trouble(const endpoint_id& id, endpoint_trouble kind, mono_time now);
  void on_success(const endpoint_id& id);
  void forget(const endpoint_id& id) { known_.erase(id); }

  // The clock's start if there was no trouble.
  [[nodiscard]] mono_time left_out_until(const endpoint_id& id) const;

  // Endpoints at which nobody was found a short time ago.
  [[nodiscard]] std::vector<endpoint_id> unreachable(mono_time now) const;

 private:
  struct standing {
    double trouble = 0; // score
    mono_time left_out_until;
    mono_time unreachable_until;
  };

  endpoint_health_options options_;
  std::map<endpoint_id, standing> known_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_HEALTH_H_
