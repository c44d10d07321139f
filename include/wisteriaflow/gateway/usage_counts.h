// Counts of requests that started to run, by workspace and window of wall-clock time, over the
// whole fleet.
//
// Every daemon counts its own requests and sends its counts, and those of daemons that became
// silent, to its peers. Counts only grow, so late and duplicate messages do no harm.

#ifndef WISTERIAFLOW_GATEWAY_USAGE_COUNTS_H_
#define WISTERIAFLOW_GATEWAY_USAGE_COUNTS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// Number of a window: window k begins k window lengths after the Unix epoch.
using usage_window = std::uint64_t;

using window_counts = std::map<workspace_id, std::uint64_t>;

// One incarnation of a daemon. A restarted daemon counts from zero under a new incarnation.
struct usage_source {
  daemon_id daemon;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const usage_source&,
                          const usage_source&) = default; // NOLINT(modernize-use-nullptr)
};

// The counts of one source in one window.
struct usage_row {
  usage_source source;
  usage_window window = 0;
  window_counts counts;

  friend bool operator==(const usage_row&, const usage_row&) = default;
};

// Not thread-safe.
class usage_counts {
 public:
  usage_counts(usage_source self, std::chrono::milliseconds window_length,
               usage_window retained_windows);

  [[nodiscard]] usage_window window_at(wall_time t) const;
  // End of `window`.
  [[nodiscard]] wall_time end_of(usage_window window) const;

  // Counts a request of `workspace` that started to run.
  void record_start(const workspace_id& workspace, wall_time at);

  // Merges the row of a peer: the higher count of each workspace stays.
  void merge(const usage_row& row);

  // Returns the rows to send to a peer: all rows of this daemon, and up to `max_relayed` rows of
  // the sources that `is_silent` selects, in rotation over the calls. When half of a fleet of 195
  // daemons stops at once, their rows would add 300 rows to every report. With the rotation each
  // report stays small, and the daemon that reports the usage receives all rows from many peers.
  [[nodiscard]] std::vector<usage_row>
  rows_for_peer(const std::function<bool(const daemon_id&)>& is_silent, std::size_t max_relayed);

  // This daemon's row of `window`; nothing if it counted no request in it.
  [[nodiscard]] std::optional<usage_row> own_row(usage_window window) const;

  // Whether rows of `window` are kept at `now`, so that a row of a peer may be merged.
  [[nodiscard]] bool is_kept(usage_window window, wall_time now) const;

  // The fleet's counts in `window`, as far as they have arrived.
  [[nodiscard]] window_counts total(usage_window window) const;

  // Drops windows that ended long before `now`.
  void forget_old(wall_time now);

 private:
  usage_source self_;
  std::chrono::milliseconds window_length_;
  usage_window retained_windows_;
  std::map<usage_window, std::map<usage_source, window_counts>> windows_;
  std::size_t next_relayed_row_ = 0; // next row of a silent source to send
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_USAGE_COUNTS_H_
