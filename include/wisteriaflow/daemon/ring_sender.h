// The sending end of a bounded ring, for a thread that must neither block nor lose messages.

#ifndef WISTERIAFLOW_DAEMON_RING_SENDER_H_
#define WISTERIAFLOW_DAEMON_RING_SENDER_H_

#include <deque>
#include <memory>
#include <utility>

#include "wisteriaflow/daemon/bounded_ring.h"

namespace wisteriaflow::daemon {

// Buffers messages in order while the ring is full and sends them at the next flush(). The buffer
// is bounded only by the number of admitted requests. Not thread-safe.
template <typename T> class ring_sender {
 public:
  explicit ring_sender(std::shared_ptr<bounded_ring<T>> ring) : ring_(std::move(ring)) {}

  // Sends `message`, or buffers it until flush().
  void post(T message)
  {
    pending_.push_back(std::move(message));
    flush();
  }

  // Sends buffered messages until the ring is full. Returns false if some are left and the ring is
  // still open.
  bool flush()
  {
    while (!pending_.empty()) {
      // Passes a copy, because a failed push consumes its argument as well.
      if (!ring_->try_push(pending_.front())) {
        return ring_->closed();
      }
      pending_.pop_front();
    }
    return true;
  }

 private:
  std::shared_ptr<bounded_ring<T>> ring_;
  std::deque<T> pending_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_RING_SENDER_H_
