// Calls back at a deadline, unless it is disarmed or destroyed before the callback has begun.
//
// A plain timer cannot promise this: once it has fired, its handler waits in the queue and can no
// longer be cancelled. A process that was stopped for longer than a deadline finds the deadline and
// the event that ends the wait at the same moment, and the handler would run on a dead object.

#ifndef WISTERIAFLOW_SRC_RELAY_DEADLINE_WATCH_H_
#define WISTERIAFLOW_SRC_RELAY_DEADLINE_WATCH_H_

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Not thread-safe: used on its context's thread.
class deadline_watch {
 public:
  explicit deadline_watch(boost::asio::io_context& context) : timer_(context) {}

  // Calls `on_due` once at `deadline`, instead of any callback armed before.
  void arm(mono_time deadline, std::function<void()> on_due)
  {
    armed_ = std::make_shared<std::function<void()>>(std::move(on_due));
    timer_.expires_at(deadline);
    timer_.async_wait([weak = std::weak_ptr(armed_)](boost::system::error_code ec) {
      const auto live = weak.lock();
      if (!ec && live) {
        (*live)();
      }
    });
  }

  void disarm()
  {
    armed_.reset();
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::function<void()>> armed_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_DEADLINE_WATCH_H_
