// Requests that began to run, counted by workspace and window of wall-clock time over the fleet.
//
// Every daemon counts its own and passes its counts, and those of daemons that fell silent, to its
// peers. Counts only grow, so that late and doubled messages do no harm.

#ifndef WISTERIAFLOW_GATEWAY_USAGE_COUNTS_H_
#define WISTERIAFLOW_GATEWAY_USAGE_COUNTS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// Number of a window: window k begins k times the window's length after the Unix epoch.
using usage_window = std::uint64_t;

using window_counts = std::map<workspace_id, std::uint64_t>;

// One incarnation of a daemon; a restart counts from zero again.
struct usage_source {
  daemon_id daemon;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const usage_source&,
                          const usage_source&) = default; // NOLINT(modernize-use-nullptr)
};

// What one source counted in one window.
struct usage_row {
  usage_source source;
  usage_window window = 0;
  window_counts counts;

  friend bool operator==(const usage_row&, const usage_row&) = default;
};

// Not thread-safe.
class usage_counts {
 public:
  usage_counts(usage_source self, std::chrono::milliseconds window_length, usage_window kept);

  [[nodiscard]] usage_window window_at(wall_time t) const;
  // When `window` ends.
  [[nodiscard]] wall_time end_of(usage_window window) const;

  // A request of `workspace` began to run.
  void began(const workspace_id& workspace, wall_time at);

  // Joins a peer's row.
  void absorb(const usage_row& row);

  // Rows to tell a peer: this daemon's own, and of those of the sources that `is_silent` names up
  // to `most_of_others`, others at each call in turn. When half of a fleet of 195 dies at once, all
  // of theirs would be 300 rows in every report; in turn each report stays
  // small, and whoever reports the usage hears of them all from many.
  [[nodiscard]] std::vector<usage_row> rows(const std::function<bool(const daemon_id&)>& is_silent,
                                            std::size_t most_of_others);

  // The fleet's counts in `window`, as far as they were heard of.
  [[nodiscard]] window_counts total(usage_window window) const;

  // Forgets windows that ended long before `now`.
  void forget_old(wall_time now);

 private:
  usage_source self_;
  std::chrono::milliseconds window_length_;
  usage_window kept_;
  std::map<usage_window, std::map<usage_source, window_counts>> windows_;
  std::size_t next_of_others_ = 0; // row to tell
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_USAGE_COUNTS_H_
