// The sending end of a bounded ring for a duty that must not wait and must not lose a message.

#ifndef WISTERIAFLOW_DAEMON_RING_PORT_H_
#define WISTERIAFLOW_DAEMON_RING_PORT_H_

#include <deque>
#include <memory>
#include <utility>

#include "wisteriaflow/daemon/bounded_ring.h"

namespace wisteriaflow::daemon {

// Keeps messages in order while the ring is full, and passes them on at the next flush. What can
// pile up here is bounded by the requests that were admitted. Used by one thread.
template <typename T> class ring_port {
 public:
  explicit ring_port(std::shared_ptr<bounded_ring<T>> ring) : ring_(std::move(ring)) {}

  // Sends `message`, or keeps it until flush().
  void post(T message)
  {
    waiting_.push_back(std::move(message));
    flush();
  }

  // Sends what is kept, as far as the ring takes it. Returns whether nothing is left.
  bool flush()
  {
    while (!waiting_.empty()) {
      // A copy, because a refused push has consumed its argument.
      if (!ring_->try_push(waiting_.front())) {
        return ring_->closed();
      }
      waiting_.pop_front();
    }
    return true;
  }

 private:
  std::shared_ptr<bounded_ring<T>> ring_;
  std::deque<T> waiting_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_RING_PORT_H_
