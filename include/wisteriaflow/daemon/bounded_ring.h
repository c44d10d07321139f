// A bounded queue between threads, with many producers and one consumer.
//
//   bounded_ring<event> ring(1'024);
//   if (!ring.try_push(e)) { ... }        // full: the producer refuses its work
//   for (auto& e : ring.pop_all()) { ... }
//
// A push never blocks; it fails if the ring is full. The ring is guarded by a mutex: its cost is
// negligible at the expected few thousand messages per second, and message types need not be
// trivially copyable, as a lock-free ring would require.

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
  // `wake`, if set, is called on the producer's thread after a push to an empty ring, so that an
  // event loop can pop instead of a waiting thread.
  explicit bounded_ring(std::size_t capacity, std::function<void()> wake = {})
      : buffer_(capacity), wake_(std::move(wake))
  {
  }

  // Appends `message`. Returns false and leaves the ring unchanged if it is full or closed.
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
      not_empty_.notify_one();
      if (wake_) {
        wake_();
      }
    }
    return true;
  }

  // Removes and returns all queued messages without waiting.
  std::vector<T> pop_all()
  {
    const std::scoped_lock lock(mutex_);
    return pop_all_locked();
  }

  // Removes and returns all queued messages; if there are none, waits for one until `deadline` or
  // close().
  std::vector<T> wait_pop_all(mono_time deadline)
  {
    std::unique_lock lock(mutex_);
    not_empty_.wait_until(lock, deadline, [this] { return closed_ || !buffer_.empty(); });
    return pop_all_locked();
  }

  // Makes further pushes fail and wakes the waiting consumer. Queued messages can still be popped.
  void close()
  {
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    not_empty_.notify_all();
  }

  // The number of queued messages.
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
  std::vector<T> pop_all_locked()
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
  std::condition_variable not_empty_;
  boost::circular_buffer_space_optimized<T> buffer_;
  std::function<void()> wake_;
  bool closed_ = false;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_BOUNDED_RING_H_
