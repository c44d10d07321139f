// Operators' orders to move a service's traffic to another version, and how far each has come.
//
// Daemons tell each other what they know of each order, and join it: the same order's news by the
// phase that is furthest, another order's by the revision at which the store held it. So news may
// come late, twice and by any way, and every daemon ends with the same.

#ifndef WISTERIAFLOW_GATEWAY_ROLLOUT_H_
#define WISTERIAFLOW_GATEWAY_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// In the order in which news of the same order win.
enum class rollout_phase {
  trial,       // the target gets a bounded part of the calls
  moving,      // all calls go over to the target
  rolled_back, // the target is bad: it gets nothing any more
  succeeded,   // the store holds that it is done, and the old version's endpoints are stopped
};

[[nodiscard]] std::string_view to_string(rollout_phase phase);

// One order for one service.
struct rollout {
  std::string service;
  std::uint64_t order = 0;    // the same for all that is known of one order
  std::uint64_t revision = 0; // of the store, the latest at which the order was seen there
  std::string target;         // the version that the traffic is to move to
  wall_time ordered_at;       // when the first daemon noticed it
  wall_time deadline;         // by which it should have succeeded or been rolled back
  rollout_phase phase = rollout_phase::trial;
  // While moving: the part of the calls that goes to the target grows from none to all of them.
  wall_time moves_from;
  wall_time moved_by;
  std::string reason; // of the phase, for operators

  // Part of the calls that have gone over at `now`, from 0 to 1.
  [[nodiscard]] double moved_part(wall_time now) const;

  friend bool operator==(const rollout&, const rollout&) = default;
};

// What both know of the same order, or the newer one of two orders.
[[nodiscard]] rollout joined(const rollout& a, const rollout& b);

// What an order comes to be called by everybody: differs for an order that is placed again.
[[nodiscard]] std::uint64_t order_id(std::string_view service, std::string_view target,
                                     std::string_view placed);

// All orders that are known, the latest of each service, and the versions that earlier ones left
// behind.
//
// Not thread-safe.
class rollout_book {
 public:
  // A version that got no traffic any more as of an order at `revision`.
  using refused_versions = std::map<std::string, std::uint64_t, std::less<>>;

  struct entry {
    rollout latest;
    refused_versions refused; // by earlier orders

    friend bool operator==(const entry&, const entry&) = default;
  };

  using entries = std::map<std::string, entry, std::less<>>; // by service

  // What the store or this daemon's own judgement says. True if that is news.
  bool note(const rollout& told);

  // Joins what a peer knows. True if any of it is news.
  bool absorb(const entries& told);

  // The operator has withdrawn the order as of `revision`: an unfinished one is rolled back. True
  // if that is news.
  bool withdraw(std::string_view service, std::uint64_t revision);

  [[nodiscard]] const rollout* find(std::string_view service) const;
  [[nodiscard]] const entries& all() const { return entries_; }

  // Whether calls may go to `version` of the service as things stand, but for those on trial.
  [[nodiscard]] bool is_refused(std::string_view service, std::string_view version) const;

 private:
  bool join(const entry& told);

  entries entries_;
};

// Whether endpoints of `version` carry the service's traffic, but for calls on trial. While it
// moves, the target's do.
[[nodiscard]] bool carries_traffic(const rollout& r, std::string_view version);

// Whether an order is still to be brought to an end.
[[nodiscard]] bool is_open(const rollout& r);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ROLLOUT_H_
