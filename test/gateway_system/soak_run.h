// A fleet of gateway daemons under random faults, with callers whose answers are compared with the
// requests that endpoints ran.
//
//   soak_run running(context, {.seed = 7});
//   co_await running.run(std::chrono::minutes(2));
//   const auto result = running.check_results();

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_RUN_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_RUN_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway_system/gateway_fleet.h"
#include "gateway_system/soak_calls.h"

namespace wisteriaflow::gateway_system_tests {

// Versions of the endpoints' software. Every endpoint has one of them, in no order.
inline constexpr std::array<const char*, 2> soak_versions = {"v1", "v2"};

struct soak_options {
  std::uint64_t seed = 1;
  std::string log_folder; // receives the daemons' output; empty: it is not kept
};

// Not thread-safe.
class soak_run {
 public:
  soak_run(boost::asio::io_context& context, soak_options options);

  // Makes faults for `time` and waits until their effects and all calls have ended.
  boost::asio::awaitable<void> run(std::chrono::milliseconds time);

  soak_result check_results() { return calls_.check_results(); }

 private:
  using fault_action = std::function<boost::asio::awaitable<void>(soak_run&)>;

  struct fault_kind {
    const char* name;
    fault_action inject;
    double weight; // relative frequency
  };

  boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
  std::chrono::milliseconds random_fault_duration();
  void inject_random_fault();
  boost::asio::awaitable<void> run_fault(fault_action inject);
  void log_event(const std::string& what);
  boost::asio::awaitable<void> check_recovery();

  // Returns a random daemon that runs and has received no SIGTERM; null if only one is left.
  gateway_process* random_daemon();
  void start_daemon();
  // Records that the daemon gets no updates about the fleet for `time`.
  void disturb(gateway_process& d, std::chrono::milliseconds time);
  boost::asio::awaitable<void> kill_daemon();
  boost::asio::awaitable<void> terminate_daemon();
  boost::asio::awaitable<void> terminate_daemons_in_series();
  boost::asio::awaitable<void> pause_daemon();

  std::string random_endpoint();
  void add_endpoint();
  // Adds an endpoint that crashes, and is replaced, when it runs a crash request.
  void add_endpoint(const std::string& version);
  // They accept and run requests, but write nothing.
  boost::asio::awaitable<void> silence_endpoints();
  boost::asio::awaitable<void> drain_endpoint();
  // Only its answers say that the endpoint leaves; the store still lists it as serving.
  boost::asio::awaitable<void> announce_endpoint_leaving();
  boost::asio::awaitable<void> limit_endpoint_rate();
  boost::asio::awaitable<void> crash_endpoint();
  boost::asio::awaitable<void> replace_crashed(std::string id);
  boost::asio::awaitable<void> make_endpoint_misbehave();

  boost::asio::awaitable<void> disrupt_endpoint_connections();
  boost::asio::awaitable<void> disrupt_store_connections();
  // Injects a random fault for `time`. `find_proxy` returns null when the proxy no longer exists.
  boost::asio::awaitable<void> apply_network_fault(std::function<fault_proxy*()> find_proxy,
                                                   std::chrono::milliseconds time);
  boost::asio::awaitable<void> make_store_unavailable();
  // What the operator and the endpoints have written since the copy is written again; what the
  // daemons have written is lost.
  boost::asio::awaitable<void> restore_store();
  boost::asio::awaitable<void> change_configuration();

  boost::asio::io_context& context_;
  soak_options options_;
  std::mt19937_64 random_;
  gateway_fleet fleet_;
  soak_calls calls_;
  mono_time start_ = std::chrono::steady_clock::now();
  mono_time updates_disturbed_until_; // the latest end of a disturb() of any daemon
  int active_faults_ = 0;
  int store_outages_ = 0;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_RUN_H_
