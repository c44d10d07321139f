// A value that is reported late.

#ifndef WISTERIAFLOW_TEST_FAKES_LAGGED_H_
#define WISTERIAFLOW_TEST_FAKES_LAGGED_H_

#include <deque>
#include <utility>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::fakes {

// Keeps what a value was at each time, for as long as a lag may reach back.
template <typename value_type> class lagged {
 public:
  // The value is `value` from `now` on.
  void set(wall_time now, value_type value)
  {
    history_.emplace_back(now, std::move(value));
    while (history_.size() > 1 && history_[1].first < now - longest_lag) {
      history_.pop_front();
    }
  }

  // The value at `time`, or an empty one if there was none yet.
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
  static constexpr std::chrono::minutes longest_lag{5};

  std::deque<std::pair<wall_time, value_type>> history_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_LAGGED_H_
