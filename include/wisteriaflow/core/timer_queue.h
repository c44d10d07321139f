// Deadlines of the core and what is to be done when they pass.
//
//   timer_queue timers;
//   timers.at(now + 1s, [] { ... });
//   timers.run_due(later);

#ifndef WISTERIAFLOW_CORE_TIMER_QUEUE_H_
#define WISTERIAFLOW_CORE_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::core {

// Names one scheduled call, for cancelling it. 0 names none.
using timer_number = std::uint64_t;

// Calls functions at deadlines, in order of deadline and then of scheduling.
class timer_queue {
 public:
  // Schedules `run` for `deadline`.
  timer_number at(mono_time deadline, std::function<void()> run)
  {
    const key k{deadline, ++last_};
    deadlines_.emplace(last_, deadline);
    waiting_.emplace(k, std::move(run));
    return last_;
  }

  // Cancels a scheduled call; no effect if it has run.
  void cancel(timer_number number)
  {
    const auto it = deadlines_.find(number);
    if (it == deadlines_.end()) {
      return;
    }
    waiting_.erase({it->second, number});
    deadlines_.erase(it);
  }

  // Runs what is due at `now`, also what a due call schedules for `now`.
  void run_due(mono_time now)
  {
    while (!waiting_.empty() && waiting_.begin()->first.first <= now) {
      const auto it = waiting_.begin();
      const auto run = std::move(it->second);
      deadlines_.erase(it->first.second);
      waiting_.erase(it);
      run();
    }
  }

  // The next deadline, if any.
  [[nodiscard]] std::optional<mono_time> next() const
  {
    if (waiting_.empty()) {
      return std::nullopt;
    }
    return waiting_.begin()->first.first;
  }

 private:
  using key = std::pair<mono_time, timer_number>;

  std::map<key, std::function<void()>> waiting_;
  std::map<timer_number, mono_time> deadlines_;
  timer_number last_ = 0;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_TIMER_QUEUE_H_
