// State that the services of a core share: options, current time, random numbers, timers, metrics,
// pending calls, and the actions to return.

#ifndef WISTERIAFLOW_SRC_CORE_CORE_CONTEXT_H_
#define WISTERIAFLOW_SRC_CORE_CORE_CONTEXT_H_

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/core/actions.h"
#include "wisteriaflow/core/daemon_core.h"
#include "wisteriaflow/core/events.h"
#include "wisteriaflow/core/metrics.h"
#include "wisteriaflow/core/timer_queue.h"

namespace wisteriaflow::core::internal {

// Shared by all services of one core. The result of a call to the store, the cloud API or a peer is
// passed to a callback, which is called exactly once.
class core_context {
 public:
  using store_callback = std::function<void(const store_answer&)>;
  using cloud_callback = std::function<void(const http::response*)>;
  // Gets null if the peer did not answer.
  using peer_callback = std::function<void(const peer_response*)>;

  core_context(daemon_core_options options, clock_reading now)
      : options_(std::move(options)), now_(now), random_(options_.seed)
  {
  }

  [[nodiscard]] const daemon_core_options& options() const { return options_; }
  [[nodiscard]] clock_reading now() const { return now_; }
  [[nodiscard]] std::mt19937_64& random() { return random_; }
  [[nodiscard]] metrics& counters() { return metrics_; }
  [[nodiscard]] timer_queue& timers() { return timers_; }

  void set_now(clock_reading now) { now_ = now; }

  void emit(action a) { actions_.push_back(std::move(a)); }
  [[nodiscard]] std::vector<action> take_actions() { return std::exchange(actions_, {}); }

  void log(severity level, std::string message,
           std::vector<std::pair<std::string, std::string>> fields = {})
  {
    emit(process_action(
        log_event{.level = level, .message = std::move(message), .fields = std::move(fields)}));
  }

  // Calls `run` after each `period`, first one period from now, for the lifetime of the core.
  void run_every(std::chrono::milliseconds period, const std::function<void()>& run)
  {
    timers_.schedule(now_.mono + period, [this, period, run] {
      run();
      run_every(period, run);
    });
  }

  // Returns a uniformly random time within `period` from now, so that the daemons of a fleet do not
  // act at the same time.
  [[nodiscard]] mono_time jittered_time(std::chrono::milliseconds period)
  {
    std::uniform_int_distribution<std::int64_t> draw(0, period.count());
    return now_.mono + std::chrono::milliseconds(draw(random_));
  }

  void call_store(store_operation operation, store_callback done)
  {
    const auto call = ++last_call_;
    store_calls_.emplace(call, std::move(done));
    metrics_.count("store_calls_total", {{"kind", kind_of(operation)}});
    emit(platform_action(core::call_store{.call = call,
                                          .operation = std::move(operation),
                                          .deadline = now_.mono + options_.platform_call_timeout}));
  }

  void on_store_answer(const store_answer& answer)
  {
    auto node = store_calls_.extract(answer.call);
    if (!node.empty()) {
      node.mapped()(answer);
    }
  }

  // Calls the cloud API. `done` gets null if there was no response.
  void call_cloud(http::request message, cloud_callback done)
  {
    const auto call = ++last_call_;
    cloud_calls_.emplace(call, std::move(done));
    emit(platform_action(core::call_cloud{.call = call,
                                          .message = std::move(message),
                                          .deadline = now_.mono + options_.platform_call_timeout}));
  }

  void on_cloud_answer(const cloud_answer& answer)
  {
    auto node = cloud_calls_.extract(answer.call);
    if (!node.empty()) {
      node.mapped()(answer.reached ? &answer.response : nullptr);
    }
  }

  void call_peer(const http::socket_address& to, peer_request message, peer_callback done)
  {
    // The I/O component reports a result by the deadline. The timer covers a result that was lost
    // because the ring buffer was full.
    constexpr std::chrono::milliseconds grace{500};
    const auto call = ++last_call_;
    const auto deadline = now_.mono + options_.peer_call_timeout;
    peer_calls_.emplace(call, std::move(done));
    timers_.schedule(deadline + grace, [this, call] { on_peer_answer(call, nullptr); });
    emit(peer_action(
        send_to_peer{.call = call, .to = to, .message = std::move(message), .deadline = deadline}));
  }

  void on_peer_answer(peer_call_number call, const peer_response* response)
  {
    auto node = peer_calls_.extract(call);
    if (!node.empty()) {
      node.mapped()(response);
    }
  }

 private:
  static std::string kind_of(const store_operation& operation)
  {
    const bool reads = std::holds_alternative<store_list>(operation) ||
                       std::holds_alternative<store_get>(operation);
    return reads ? "read" : "write";
  }

  daemon_core_options options_;
  clock_reading now_;
  std::mt19937_64 random_;
  metrics metrics_;
  timer_queue timers_;
  std::vector<action> actions_;
  std::map<store_call_number, store_callback> store_calls_;
  std::map<cloud_call_number, cloud_callback> cloud_calls_;
  std::map<peer_call_number, peer_callback> peer_calls_;
  std::uint64_t last_call_ = 0;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CORE_CONTEXT_H_
