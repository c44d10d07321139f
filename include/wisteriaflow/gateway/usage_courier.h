// Brings the usage counts of all daemons of a large fleet to the leader soon after each window.
//
// One daemon cannot receive a report of every other daemon within seconds if there are hundreds.
// After the end of a window a daemon therefore sends its counts to the relays of its group (see
// fleet_groups), and each relay passes what it has received on to the leader, several rows in a
// message. Relays keep the rows, and send them again to the next leader. Rows are merged by their
// source, so repeated ones do no harm.
//
// In a small fleet the leader receives the counts with the reports, and the courier does nothing.
//
//   for (auto& d : courier.due(counts, route, now)) { ... send d.rows to d.to ... }
//   courier.on_delivered(d);            // once the receiver has answered
//   courier.on_received(rows);          // at a relay

#ifndef WISTERIAFLOW_GATEWAY_USAGE_COURIER_H_
#define WISTERIAFLOW_GATEWAY_USAGE_COURIER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/usage_counts.h"

namespace wisteriaflow::gateway {

struct usage_courier_options {
  daemon_id self;
  std::uint64_t seed = 0;
  // Daemons send their counts at random times within this time after a window, so that relays
  // pass on several rows together.
  std::chrono::milliseconds max_delay{800};
};

// Where counts go: the relays of the own group, and the leader if it is known.
struct usage_route {
  std::vector<daemon_id> relays; // empty: a small fleet
  std::optional<daemon_id> leader;
};

// Rows to be sent to one daemon.
struct usage_delivery {
  daemon_id to;
  bool to_leader = false; // the receiver keeps the rows; otherwise it passes them on to the leader
  std::vector<usage_row> rows;

  friend bool operator==(const usage_delivery&, const usage_delivery&) = default;
};

// Not thread-safe.
class usage_courier {
 public:
  explicit usage_courier(usage_courier_options options);

  // Returns what is to be sent now. What is not reported by `on_delivered` is returned again.
  [[nodiscard]] std::vector<usage_delivery> due(const usage_counts& counts,
                                                const usage_route& route, wall_time now);

  // Call when the receiver has confirmed the rows.
  void on_delivered(const usage_delivery& delivered);

  // Takes rows that a daemon of this daemon's group sent to it as a relay.
  void on_received(const std::vector<usage_row>& rows);

 private:
  using row_key = std::pair<usage_window, usage_source>;

  // A row that this daemon passes on as a relay.
  struct collected_row {
    window_counts counts;
    std::optional<daemon_id> delivered_to; // the leader that has confirmed these counts
  };

  void collect(const usage_row& row);
  // Appends the deliveries of the own row of an ended window.
  void add_own(const usage_counts& counts, const usage_route& route, usage_window window,
               std::vector<usage_delivery>& out);
  void forget_before(usage_window window);

  usage_courier_options options_;
  std::chrono::milliseconds delay_{0}; // after the end of a window, until the own row is sent
  std::map<row_key, collected_row> collected_;
  // The own row of each window as each relay has confirmed it.
  std::map<std::pair<usage_window, daemon_id>, window_counts> own_delivered_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_USAGE_COURIER_H_
