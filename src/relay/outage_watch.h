// Tells an outage of the store from single calls that failed.

#ifndef WISTERIAFLOW_SRC_RELAY_OUTAGE_WATCH_H_
#define WISTERIAFLOW_SRC_RELAY_OUTAGE_WATCH_H_

#include <chrono>
#include <optional>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class outage_watch {
 public:
  // Calls that failed over a shorter time than `shortest` are no outage.
  explicit outage_watch(std::chrono::milliseconds shortest) : shortest_(shortest) {}

  // Notes a call's end. After an outage, the first answer returns the time over which calls failed.
  //
  // It counts from the first failure to the last, not to the answer: a daemon that calls seldom may
  // have failed once long ago, and would take that for an outage ever since.
  std::optional<std::chrono::milliseconds> note(bool answered, mono_time now)
  {
    if (!answered) {
      first_failure_ = first_failure_.value_or(now);
      last_failure_ = now;
      return std::nullopt;
    }
    if (!first_failure_) {
      return std::nullopt;
    }
    const auto failed_for = last_failure_ - *first_failure_;
    first_failure_.reset();
    if (failed_for < shortest_) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(failed_for);
  }

 private:
  std::chrono::milliseconds shortest_;
  std::optional<mono_time> first_failure_; // since the last answer
  mono_time last_failure_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_OUTAGE_WATCH_H_
