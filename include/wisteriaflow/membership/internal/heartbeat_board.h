// Heartbeats that a daemon still sends on, and how often each has been.
//
// What has waited too long is dropped: a late counter of a dead daemon would pass for a sign of
// life where the earlier ones were missed.

#ifndef WISTERIAFLOW_MEMBERSHIP_INTERNAL_HEARTBEAT_BOARD_H_
#define WISTERIAFLOW_MEMBERSHIP_INTERNAL_HEARTBEAT_BOARD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/messages.h"

namespace wisteriaflow::membership::internal {

struct heartbeat_board_options {
  // Heartbeats in one message.
  std::size_t max_heartbeats = 64;
  // How often each is sent on.
  int sends = 4;
  // How long each may wait for that.
  std::chrono::milliseconds kept{5000};
};

class heartbeat_board {
 public:
  explicit heartbeat_board(heartbeat_board_options options) : options_(options) {}

  // Takes up a heartbeat that taught the view something.
  void add(const heartbeat& beat, mono_time now);

  // Heartbeats for one message, those sent least often first.
  std::vector<heartbeat> take(mono_time now);

 private:
  struct kept_heartbeat {
    std::uint64_t counter = 0;
    int sends = 0;
    mono_time lapses_at;
  };

  heartbeat_board_options options_;
  std::unordered_map<std::uint64_t, kept_heartbeat> kept_;
};

} // namespace wisteriaflow::membership::internal

#endif // WISTERIAFLOW_MEMBERSHIP_INTERNAL_HEARTBEAT_BOARD_H_
