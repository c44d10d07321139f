// Sends SIGTERM to gateway daemons that run as processes while callers use the connections that
// they opened before, until the processes are gone, and counts what becomes of their calls.
//
//   drain_run run(context, {.callers = 500, .seed = 2});
//   const auto result = run.run();
//   EXPECT_TRUE(result.cut.empty());

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_DRAIN_RUN_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_DRAIN_RUN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway_system/gateway_fleet.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::gateway_system_tests {

struct drain_options {
  int daemons = 6;
  int endpoints = 4;
  int leaving = 1;                           // daemons that receive SIGTERM, one after another
  std::chrono::milliseconds signal_gap{700}; // between two of them
  int callers = 500;                         // each sends one call at a random moment of the drain
  std::vector<std::string> routes = {"unsafe"}; // drawn for each call
  route_timeouts timeouts{.plain = std::chrono::milliseconds(1'500),
                          .stream = std::chrono::milliseconds(15'000)};
  endpoint_pace pace{.shortest = std::chrono::milliseconds(60),
                     .longest = std::chrono::milliseconds(450),
                     .event_pause = std::chrono::milliseconds(150)};
  // Every `silence_period` all endpoints fall silent for `silence`; 0: never.
  std::chrono::milliseconds silence{0};
  std::chrono::milliseconds silence_period{2'000};
  // The operator writes a new configuration this often; 0: never.
  std::chrono::milliseconds configuration_period{0};
  std::string log_folder; // for the daemons' output; empty: it is not kept
  std::uint64_t seed = 1;
};

// What became of the call of one caller at the daemon that received SIGTERM.
enum class drained_call {
  served,       // an endpoint's whole answer
  refused,      // a whole answer that promises that the call has not run
  unknown,      // a whole answer without that promise
  cut,          // sent to an endpoint, and the connection ended without a whole answer
  closed,       // the connection ended without an answer, and nothing was sent to an endpoint
  disconnected, // the caller found its connection closed and could open none
};

[[nodiscard]] const char* to_string(drained_call outcome);

struct drain_result {
  std::map<drained_call, int> calls;
  // Of the calls that were refused, closed or disconnected: served by another daemon at once.
  int served_elsewhere = 0;
  std::vector<std::string> cut; // descriptions; without the calls that may be cut
  // Calls that ran although they were refused, or ran twice.
  std::vector<std::string> violations;
  // From SIGTERM to the end of each process that received it.
  std::vector<std::chrono::milliseconds> exits;
  bool all_exited_cleanly = true;
};

class drain_run {
 public:
  drain_run(boost::asio::io_context& context, drain_options options);

  drain_result run();

 private:
  struct caller {
    explicit caller(boost::asio::io_context& context)
        : client(context, {.idle_connections_per_address = 1, .retry_stale_get = false})
    {
    }
    http::client client;
    gateway_process* daemon = nullptr;
  };

  // One exchange as its caller saw it.
  struct exchange {
    std::string id;
    bool was_connected = false;
    bool is_complete = false;
    http::response answer{.status = 0};
    mono_time ended_at;
  };

  void open_connections();
  // Waits for the end of a process that has received SIGTERM, and records it.
  boost::asio::awaitable<void> await_exit(gateway_process& d);
  boost::asio::awaitable<void> silence_endpoints();
  boost::asio::awaitable<void> change_configuration();
  boost::asio::awaitable<void> call_at(caller& from, std::string route,
                                       std::chrono::milliseconds since_sigterm);
  boost::asio::awaitable<exchange> send(http::client& client, const http::socket_address& to,
                                        const std::string& route);
  boost::asio::awaitable<void> retry_elsewhere(const exchange& failed, const std::string& route);
  [[nodiscard]] drained_call classify(const exchange& made) const;
  [[nodiscard]] int runs_of(const std::string& id) const;
  // When the daemon abandoned the request at its endpoint, if it did.
  [[nodiscard]] std::optional<mono_time> abandoned_at(const std::string& id) const;
  void sleep_all(std::chrono::milliseconds time);

  boost::asio::io_context& context_;
  drain_options options_;
  std::mt19937_64 random_;
  gateway_fleet fleet_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::vector<gateway_process*> leaving_;
  http::client other_client_; // for the calls at other daemons
  std::uint64_t last_call_ = 0;
  int active_ = 0;
  bool is_stopped_ = false;
  drain_result result_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_DRAIN_RUN_H_
