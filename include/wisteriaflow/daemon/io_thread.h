// A thread with an io_context that carries out the core's actions for one I/O component.

#ifndef WISTERIAFLOW_DAEMON_IO_THREAD_H_
#define WISTERIAFLOW_DAEMON_IO_THREAD_H_

#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wisteriaflow/daemon/event_rings.h"
#include "wisteriaflow/daemon/ring_sender.h"

namespace wisteriaflow::daemon {

// Runs an io_context on a separate thread. Actions pushed into ring() are passed to `on_action` on
// that thread. post_event() sends events to the core and must be called on that thread.
template <typename Action> class io_thread {
 public:
  io_thread(std::shared_ptr<event_ring> core, std::function<void(Action)> on_action)
      : on_action_(std::move(on_action)), events_(std::move(core)), flush_timer_(context_),
        work_guard_(boost::asio::make_work_guard(context_)),
        ring_(std::make_shared<bounded_ring<Action>>(action_ring_capacity,
                                                     [this] { schedule_delivery(); }))
  {
  }

  ~io_thread() { stop(); }
  io_thread(const io_thread&) = delete;
  io_thread& operator=(const io_thread&) = delete;

  // Starts the thread. Work that was posted to the context before runs from then on.
  void start()
  {
    thread_ = std::thread([this] { context_.run(); });
  }

  // Ends the thread. Pending work is discarded.
  void stop()
  {
    ring_->close();
    work_guard_.reset();
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  [[nodiscard]] std::shared_ptr<bounded_ring<Action>> ring() const { return ring_; }

  // Sends an event to the core without blocking. Call it on this thread only.
  void post_event(core::event e)
  {
    events_.post(std::move(e));
    flush_events();
  }

 private:
  static constexpr std::chrono::milliseconds flush_retry_interval{1};

  void schedule_delivery()
  {
    boost::asio::post(context_, [this] { deliver_actions(); });
  }

  void deliver_actions()
  {
    for (auto& a : ring_->pop_all()) {
      on_action_(std::move(a));
    }
  }

  // Sends buffered events; retries after flush_retry_interval while the core's ring is full. Keeps
  // the order of events.
  void flush_events()
  {
    if (flush_scheduled_ || events_.flush()) {
      return;
    }
    flush_scheduled_ = true;
    flush_timer_.expires_after(flush_retry_interval);
    flush_timer_.async_wait([this](boost::system::error_code ec) {
      flush_scheduled_ = false;
      if (!ec) {
        flush_events();
      }
    });
  }

  boost::asio::io_context context_{1};
  std::function<void(Action)> on_action_;
  ring_sender<core::event> events_;
  boost::asio::steady_timer flush_timer_;
  bool flush_scheduled_ = false;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  std::shared_ptr<bounded_ring<Action>> ring_;
  std::thread thread_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_IO_THREAD_H_
