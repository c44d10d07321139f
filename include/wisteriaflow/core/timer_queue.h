// Timers of the core, driven by the caller's clock.
//
//   timer_queue timers;
//   const auto timer = timers.schedule(now + 1s, [] { ... });
//   timers.run_due(now + 2s); // runs the callback, unless timers.cancel(timer) came first

#ifndef WISTERIAFLOW_CORE_TIMER_QUEUE_H_
#define WISTERIAFLOW_CORE_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::core {

// Identifies a scheduled callback for cancel(). 0 is never used for one.
using timer_number = std::uint64_t;

// Runs callbacks at their deadlines. Callbacks with the same deadline run in the order in which
// they were scheduled.
class timer_queue {
 public:
  // Schedules `run` for `deadline` and returns its number.
  timer_number schedule(mono_time deadline, std::function<void()> run)
  {
    const key k{deadline, ++last_};
    deadlines_.emplace(last_, deadline);
    callbacks_.emplace(k, std::move(run));
    return last_;
  }

  // Cancels a callback. Has no effect if it has run.
  void cancel(timer_number number)
  {
    const auto it = deadlines_.find(number);
    if (it == deadlines_.end()) {
      return;
    }
    callbacks_.erase({it->second, number});
    deadlines_.erase(it);
  }

  // Runs all callbacks that are due at `now`, including those that a callback schedules for `now`.
  void run_due(mono_time now)
  {
    while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
      const auto it = callbacks_.begin();
      const auto run = std::move(it->second);
      deadlines_.erase(it->first.second);
      callbacks_.erase(it);
      run();
    }
  }

  // Returns the earliest deadline, if any.
  [[nodiscard]] std::optional<mono_time> next_deadline() const
  {
    if (callbacks_.empty()) {
      return std::nullopt;
    }
    return callbacks_.begin()->first.first;
  }

 private:
  using key = std::pair<mono_time, timer_number>;

  std::map<key, std::function<void()>> callbacks_;
  std::map<timer_number, mono_time> deadlines_;
  timer_number last_ = 0;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_TIMER_QUEUE_H_
