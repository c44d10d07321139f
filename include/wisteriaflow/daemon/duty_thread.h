// A thread that runs one duty's io_context, fed with actions by a ring.

#ifndef WISTERIAFLOW_DAEMON_DUTY_THREAD_H_
#define WISTERIAFLOW_DAEMON_DUTY_THREAD_H_

#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/daemon/event_sink.h"
#include "wisteriaflow/daemon/ring_port.h"

namespace wisteriaflow::daemon {

// Runs an io_context on a thread of its own. Actions pushed into its ring are handed to `on_action`
// on that thread; events go to the core through `events()`, also on that thread.
template <typename Action> class duty_thread {
 public:
  duty_thread(std::shared_ptr<event_ring> core, std::function<void(Action)> on_action)
      : on_action_(std::move(on_action)), events_(std::move(core)), retry_(context_),
        work_(boost::asio::make_work_guard(context_)),
        ring_(std::make_shared<bounded_ring<Action>>(action_ring_capacity, [this] { wake(); }))
  {
  }

  ~duty_thread() { stop(); }
  duty_thread(const duty_thread&) = delete;
  duty_thread& operator=(const duty_thread&) = delete;

  // Starts the thread; what was set up on the context before runs from now on.
  void start()
  {
    thread_ = std::thread([this] { context_.run(); });
  }

  // Ends the thread; pending work is dropped.
  void stop()
  {
    ring_->close();
    work_.reset();
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  [[nodiscard]] std::shared_ptr<bounded_ring<Action>> ring() const { return ring_; }

  // Sends an event to the core without waiting; for the duty's own thread.
  void post_event(core::event e)
  {
    events_.post(std::move(e));
    flush_later();
  }

 private:
  static constexpr std::chrono::milliseconds retry_interval{1};

  void wake()
  {
    boost::asio::post(context_, [this] { drain(); });
  }

  void drain()
  {
    for (auto& a : ring_->pop_all()) {
      on_action_(std::move(a));
    }
  }

  // The core's ring was full: tries again soon, keeping the order.
  void flush_later()
  {
    if (retrying_ || events_.flush()) {
      return;
    }
    retrying_ = true;
    retry_.expires_after(retry_interval);
    retry_.async_wait([this](boost::system::error_code ec) {
      retrying_ = false;
      if (!ec) {
        flush_later();
      }
    });
  }

  boost::asio::io_context context_{1};
  std::function<void(Action)> on_action_;
  ring_port<core::event> events_;
  boost::asio::steady_timer retry_;
  bool retrying_ = false;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::shared_ptr<bounded_ring<Action>> ring_;
  std::thread thread_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_DUTY_THREAD_H_
