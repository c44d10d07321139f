// Operators' orders to move a service's traffic to another version (rollouts), and the progress of
// each.
//
// Daemons exchange what they know of each order and merge it: updates of the same order by the
// phase that is furthest, updates of different orders by the store revision at which each was seen.
// Updates may therefore arrive late, twice and on any path, and all daemons converge to the same
// state.

#ifndef WISTERIAFLOW_GATEWAY_ROLLOUT_H_
#define WISTERIAFLOW_GATEWAY_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::gateway {

// Phases in the order of precedence: when updates of one order are merged, the later value wins.
enum class rollout_phase {
  trial,       // the target gets a bounded fraction of the calls
  moving,      // all calls move to the target, gradually
  rolled_back, // the target is worse: it gets no more calls
  succeeded,   // the store records the success, and the endpoints of the old version are stopped
};

[[nodiscard]] std::string_view to_string(rollout_phase phase);

// One order for one service.
struct rollout {
  std::string service;
  std::uint64_t order = 0; // identifies the order; see order_id
  store_revision revision; // latest store revision at which the order was seen
  std::string target;      // the version that the traffic moves to
  wall_time ordered_at;    // when the first daemon saw the order
  wall_time deadline;      // by when it should have succeeded or been rolled back
  rollout_phase phase = rollout_phase::trial;
  // Interval of the move in phase `moving`: the fraction of the calls that goes to the target grows
  // from 0 to 1.
  wall_time move_starts_at;
  wall_time move_ends_at;
  std::string reason; // why the order is in this phase, for operators

  // Fraction of the calls that have moved to the target at `now`, from 0 to 1. It is 0 during the
  // trial.
  [[nodiscard]] double moved_fraction(wall_time now) const;

  friend bool operator==(const rollout&, const rollout&) = default;
};

// Merges two states of the same order. Of two different orders, returns the one with the higher
// revision.
[[nodiscard]] rollout merged(const rollout& a, const rollout& b);

// Returns an id on which all daemons agree. `placement` differs when the same order is placed
// again.
[[nodiscard]] std::uint64_t order_id(std::string_view service, std::string_view target,
                                     std::string_view placement);

// All known orders, the latest of each service, and the versions that earlier orders left refused.
//
// Not thread-safe.
class rollout_registry {
 public:
  // Versions that get no more traffic, each with the store revision of the order that caused it.
  using refused_versions = std::map<std::string, store_revision, std::less<>>;

  struct entry {
    rollout latest;
    refused_versions refused; // because of earlier orders

    friend bool operator==(const entry&, const entry&) = default;
  };

  using entries = std::map<std::string, entry, std::less<>>; // by service

  // Merges an order as the store holds it or as this daemon decided. Returns true if anything
  // changed.
  bool update(const rollout& order);

  // Merges the state of a peer. Returns true if anything changed.
  bool merge(const entries& updates);

  // Records that the operator withdrew the order as of `revision`: an open order is rolled back.
  // Returns true if anything changed.
  bool withdraw(std::string_view service, store_revision revision);

  [[nodiscard]] const rollout* find(std::string_view service) const;
  [[nodiscard]] const entries& all() const { return entries_; }

  // Whether regular calls must not go to `version` of the service. Calls on trial are not
  // considered.
  [[nodiscard]] bool is_refused(std::string_view service, std::string_view version) const;

 private:
  bool merge_entry(const entry& update);

  entries entries_;
};

// Whether endpoints of `version` carry the service's regular traffic, which excludes calls on
// trial. While the order is moving, those of the target do.
[[nodiscard]] bool carries_traffic(const rollout& r, std::string_view version);

// Whether the order has neither succeeded nor been rolled back.
[[nodiscard]] bool is_open(const rollout& r);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ROLLOUT_H_
