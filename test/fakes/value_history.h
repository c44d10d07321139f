// The history of a value, for fakes that report it with a lag.
//
//   value_history<int> load;
//   load.set(wall_now(), 3);
//   load.at(wall_now() - lag);

#ifndef WISTERIAFLOW_TEST_FAKES_VALUE_HISTORY_H_
#define WISTERIAFLOW_TEST_FAKES_VALUE_HISTORY_H_

#include <deque>
#include <utility>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::fakes {

// Keeps the values of the last `retention`, which bounds the lag.
template <typename value_type> class value_history {
 public:
  // Sets the value from `now` on. `now` must not be before that of the previous call.
  void set(wall_time now, value_type value)
  {
    history_.emplace_back(now, std::move(value));
    while (history_.size() > 1 && history_[1].first < now - retention) {
      history_.pop_front();
    }
  }

  // Returns the value at `time`; a default-constructed one if none was set by then.
  [[nodiscard]] value_type at(wall_time time) const
  {
    for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
      if (it->first <= time) {
        return it->second;
      }
    }
    return {};
  }

 private:
  static constexpr std::chrono::minutes retention{5};

  std::deque<std::pair<wall_time, value_type>> history_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_VALUE_HISTORY_H_
