// Holds that a daemon knows only from the store, because every daemon that had observed the crashes
// may have ended.
//
// What those daemons knew to have been answered, or to be running on, has ended with them. If a
// part is in most requests, or requests with a content ran on elsewhere when endpoints crashed, the
// hold refuses many callers, and whether it is right cannot be told without a request. So one
// request tests it at once: a guilty part or content crashes one more endpoint, and after that the
// hold is no longer an inherited one; an innocent one is served again.
//
//   inherited_holds inherited;
//   inherited.add(suspect, hold, now);
//   inherited.on_call(suspects); // of each call
//   if (inherited.is_doubtful(suspect, hold, now)) { ... } // a request may test it

#ifndef WISTERIAFLOW_GATEWAY_INHERITED_HOLDS_H_
#define WISTERIAFLOW_GATEWAY_INHERITED_HOLDS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::gateway {

// Not thread-safe.
class inherited_holds {
 public:
  // Calls that must have come before it can be told whether a part is in most of them.
  static constexpr std::size_t min_calls = 10;
  static constexpr double min_share = 0.5;
  // By then the daemons know each other, so that only one of them tests a hold.
  static constexpr std::chrono::milliseconds min_age{1'000};

  // Adds a hold that was read from the store. Those on contents that are not contested are ignored:
  // each refuses the requests of a single caller.
  void add(const crash_suspect& suspect, const crash_hold& hold, mono_time now);

  // Counts a call with these suspects.
  void on_call(const suspicions& suspects);

  // Whether the hold in force is still the inherited one, and refuses many callers.
  [[nodiscard]] bool is_doubtful(const crash_suspect& suspect, const crash_hold& hold,
                                 mono_time now) const;

 private:
  struct entry {
    std::vector<endpoint_process> crashed;
    mono_time doubtful_from;
    std::size_t calls = 0; // since it was added
    std::size_t calls_with_part = 0;
  };

  std::map<crash_suspect, entry> entries_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_INHERITED_HOLDS_H_
