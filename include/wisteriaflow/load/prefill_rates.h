// Prefill rates of the endpoints of each service: the rate of the service's engines, fitted over
// all of them, and how much slower or faster each endpoint answers than that.
//
// One daemon of a large fleet sends a prompt to a given endpoint every few seconds. That is enough
// to tell a slow endpoint, but not to fit a line for each.
//
//   prefill_rates rates({});
//   rates.add("chat", endpoint, {.tokens = 1'800, .seconds = 0.08});
//   const double tokens_per_second = rates.rate_of("chat", endpoint);

#ifndef WISTERIAFLOW_LOAD_PREFILL_RATES_H_
#define WISTERIAFLOW_LOAD_PREFILL_RATES_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/load/prefill_model.h"

namespace wisteriaflow::load {

// Not thread-safe.
class prefill_rates {
 public:
  explicit prefill_rates(const prefill_model_options& options) : options_(options) {}

  // Records a prompt that met no known queue at the endpoint.
  void add(std::string_view service, const endpoint_id& endpoint, const prefill_sample& sample,
           mono_time now);

  // Removes the state of an endpoint that is gone or has restarted.
  void forget(const endpoint_id& endpoint) { slowness_.erase(endpoint); }

  // The line that is fitted for each service with samples. For operators.
  [[nodiscard]] const std::map<std::string, prefill_model, std::less<>>& models() const
  {
    return models_;
  }

  // Moves each endpoint towards the rate of its service. Call this a few times a second: an
  // endpoint that seems slow gets few calls, and would keep its estimate for want of samples.
  void decay(mono_time now);

  // Tokens per second; the service's rate for an endpoint without samples.
  [[nodiscard]] double rate_of(std::string_view service, const endpoint_id& endpoint) const;

 private:
  prefill_model_options options_;
  std::map<std::string, prefill_model, std::less<>> models_;
  std::map<endpoint_id, double> slowness_; // measured time over the service's expected time
  mono_time decayed_at_{};
};

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_PREFILL_RATES_H_
