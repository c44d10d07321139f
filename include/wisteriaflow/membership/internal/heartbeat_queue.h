// Queue of received heartbeats that this daemon still forwards, with the number of times that each
// has been sent.
//
// A heartbeat that has waited too long is dropped: if a dead daemon's counter arrived late at a
// daemon that missed the earlier ones, it would count as a sign of life.

#ifndef WISTERIAFLOW_MEMBERSHIP_INTERNAL_HEARTBEAT_QUEUE_H_
#define WISTERIAFLOW_MEMBERSHIP_INTERNAL_HEARTBEAT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/messages.h"

namespace wisteriaflow::membership::internal {

struct heartbeat_queue_options {
  // Maximum number of heartbeats in one message.
  std::size_t max_heartbeats = 64;
  // Number of times that each heartbeat is sent.
  int max_sends = 4;
  // Maximum time that a heartbeat stays in the queue.
  std::chrono::milliseconds max_age{5000};
};

class heartbeat_queue {
 public:
  explicit heartbeat_queue(heartbeat_queue_options options) : options_(options) {}

  // Adds a heartbeat that advanced the view's counter.
  void add(const heartbeat& beat, mono_time now);

  // Returns the heartbeats for one message, those sent least often first.
  std::vector<heartbeat> take(mono_time now);

 private:
  struct queued_heartbeat {
    std::uint64_t counter = 0;
    int sends = 0;
    mono_time expires_at;
  };

  heartbeat_queue_options options_;
  std::unordered_map<std::uint64_t, queued_heartbeat> queued_;
};

} // namespace wisteriaflow::membership::internal

#endif // WISTERIAFLOW_MEMBERSHIP_INTERNAL_HEARTBEAT_QUEUE_H_
