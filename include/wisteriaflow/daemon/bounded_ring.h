// A bounded queue that joins two duties' threads.
//
// Many threads may push, one thread pops. A push never waits: a full ring refuses, and the pusher
// turns that into a refusal of its own work. A mutex guards it: at the planned few thousand
// messages a second its cost does not show, and message types need not be trivial as a lock-free
// ring would ask.

#ifndef WISTERIAFLOW_DAEMON_BOUNDED_RING_H_
#define WISTERIAFLOW_DAEMON_BOUNDED_RING_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::daemon {

// A queue of at most `capacity` messages of type `T`.
template <typename T> class bounded_ring {
 public:
  // `wake`, if set, is called after a push to an empty ring; it lets an event loop pop instead of
  // a thread that waits.
  explicit bounded_ring(std::size_t capacity, std::function<void()> wake = {})
      : buffer_(capacity), wake_(std::move(wake))
  {
  }

  // Appends `message`. Returns false, and leaves the ring as it was, if it is full or closed.
  bool try_push(T message)
  {
    bool was_empty = false;
    {
      const std::scoped_lock lock(mutex_);
      if (closed_ || buffer_.full()) {
        return false;
      }
      was_empty = buffer_.empty();
      buffer_.push_back(std::move(message));
    }
    if (was_empty) {
      ready_.notify_one();
      if (wake_) {
        wake_();
      }
    }
    return true;
  }

  // Moves out all messages that are there, without waiting.
  std::vector<T> pop_all()
  {
    const std::scoped_lock lock(mutex_);
    return take();
  }

  // Moves out all messages; waits for one until `deadline` or close().
  std::vector<T> wait_pop_all(mono_time deadline)
  {
    std::unique_lock lock(mutex_);
    ready_.wait_until(lock, deadline, [this] { return closed_ || !buffer_.empty(); });
    return take();
  }

  // Refuses further pushes and wakes the waiting thread; what is queued can still be popped.
  void close()
  {
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    ready_.notify_all();
  }

  // Messages that wait to be popped.
  [[nodiscard]] std::size_t size() const
  {
    const std::scoped_lock lock(mutex_);
    return buffer_.size();
  }

  [[nodiscard]] bool closed() const
  {
    const std::scoped_lock lock(mutex_);
    return closed_;
  }

 private:
  std::vector<T> take()
  {
    std::vector<T> out;
    out.reserve(buffer_.size());
    for (auto& message : buffer_) {
      out.push_back(std::move(message));
    }
    buffer_.clear();
    return out;
  }

  mutable std::mutex mutex_;
  std::condition_variable ready_;
  boost::circular_buffer_space_optimized<T> buffer_;
  std::function<void()> wake_;
  bool closed_ = false;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_BOUNDED_RING_H_
