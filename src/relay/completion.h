// Lets coroutines wait, each until a deadline of its own, for something that happens once.
//
//   auto done = std::make_shared<completion>();
//   const bool in_time = co_await done->wait_until(context, deadline); // the waiting coroutines
//   done->notify();                                                   // another one

#ifndef WISTERIAFLOW_SRC_RELAY_COMPLETION_H_
#define WISTERIAFLOW_SRC_RELAY_COMPLETION_H_

#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::relay {

// Not thread-safe. Must outlive the coroutines that wait.
class completion {
 public:
  [[nodiscard]] bool is_done() const { return is_done_; }

  void notify()
  {
    is_done_ = true;
    for (auto* timer : waiting_) {
      timer->cancel();
    }
  }

  // Returns whether it happened before the deadline.
  boost::asio::awaitable<bool> wait_until(boost::asio::io_context& context, mono_time deadline)
  {
    if (!is_done_) {
      boost::asio::steady_timer timer(context, deadline);
      boost::system::error_code ec;
      waiting_.insert(&timer);
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      waiting_.erase(&timer);
    }
    co_return is_done_;
  }

 private:
  bool is_done_ = false;
  std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_COMPLETION_H_
