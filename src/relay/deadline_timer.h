// A timer that calls back at a deadline, unless it is disarmed or destroyed before the callback has
// begun.
//
// An asio timer alone does not guarantee this: once it has expired, its handler is queued and can
// no longer be cancelled. After a process was suspended for longer than a deadline, the deadline
// and the event that should have cancelled the timer are handled in the same turn, and the handler
// would run on a destroyed object.
//
//   deadline_timer timer(context);
//   timer.arm(std::chrono::steady_clock::now() + 100ms, [this] { on_timeout(); });

#ifndef WISTERIAFLOW_SRC_RELAY_DEADLINE_TIMER_H_
#define WISTERIAFLOW_SRC_RELAY_DEADLINE_TIMER_H_

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Not thread-safe: must be used on its context's thread.
class deadline_timer {
 public:
  explicit deadline_timer(boost::asio::io_context& context) : timer_(context) {}

  // Calls `on_deadline` once at `deadline`. Replaces a callback that was armed before.
  void arm(mono_time deadline, std::function<void()> on_deadline)
  {
    callback_ = std::make_shared<std::function<void()>>(std::move(on_deadline));
    timer_.expires_at(deadline);
    timer_.async_wait([weak = std::weak_ptr(callback_)](boost::system::error_code ec) {
      const auto live = weak.lock();
      if (!ec && live) {
        (*live)();
      }
    });
  }

  // Drops the callback. It does not run afterwards, even if the deadline has passed.
  void disarm()
  {
    callback_.reset();
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::function<void()>> callback_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_DEADLINE_TIMER_H_
