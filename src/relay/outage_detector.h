// Tells an outage of the store from single failed calls.
//
//   outage_detector outages(2s);
//   if (const auto duration = outages.on_call_result(answered, now)) { ... } // the outage is over

#ifndef WISTERIAFLOW_SRC_RELAY_OUTAGE_DETECTOR_H_
#define WISTERIAFLOW_SRC_RELAY_OUTAGE_DETECTOR_H_

#include <chrono>
#include <optional>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Detects outages from the results of calls. Not thread-safe.
class outage_detector {
 public:
  // Failures that span less than `min_duration` are not an outage.
  explicit outage_detector(std::chrono::milliseconds min_duration) : min_duration_(min_duration) {}

  // Records the result of a call. The first answer after an outage returns the outage's duration.
  //
  // The duration is from the first failure to the last, not to the answer: a daemon that calls
  // rarely would otherwise take one failure long ago for an outage that lasted until now.
  std::optional<std::chrono::milliseconds> on_call_result(bool answered, mono_time now)
  {
    if (!answered) {
      first_failure_ = first_failure_.value_or(now);
      last_failure_ = now;
      return std::nullopt;
    }
    if (!first_failure_) {
      return std::nullopt;
    }
    const auto duration = last_failure_ - *first_failure_;
    first_failure_.reset();
    if (duration < min_duration_) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  }

 private:
  std::chrono::milliseconds min_duration_;
  std::optional<mono_time> first_failure_; // since the last answer
  mono_time last_failure_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_OUTAGE_DETECTOR_H_
