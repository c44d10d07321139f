// Runs a fleet of gateway daemons as processes, in front of endpoints that have little room or
// state a request rate, and counts what the endpoints get.
//
//   overload_run run(context, {.daemons = 6, .endpoints = 4, .calls_per_second = 200});
//   const auto result = run.run();
//   EXPECT_LE(result.failures, 2);

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_OVERLOAD_RUN_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_OVERLOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/limited_room.h"
#include "gateway_system/gateway_fleet.h"
#include "gateway_system/soak_endpoint_terms.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::gateway_system_tests {

struct overload_options {
  int daemons = 6;
  int endpoints = 4;
  fakes::room_options room{.places = 6, .waiting = 24};
  std::chrono::milliseconds work_time{60}; // mean time that a request takes at its endpoint
  double calls_per_second = 200;           // of all callers together
  int clump = 3;                           // calls that arrive at the same moment
  std::chrono::milliseconds duration{15'000};
  // A third of `duration` after the start, the endpoints begin to state this...
  std::optional<std::size_t> max_rejections;
  double request_rate = 0; // requests/s for each endpoint from the whole fleet; 0: none
  // ...and this much later they let fewer requests wait.
  std::chrono::milliseconds notice{4'000};
  std::size_t waiting_after_notice = 0;
  // A failed endpoint is replaced after this time.
  std::chrono::milliseconds downtime{4'000};
  std::uint64_t seed = 1;
};

// What happened after the notice.
struct overload_result {
  int failures = 0; // of endpoints, because they had to reject too many requests
  std::size_t rejections = 0;
  std::size_t arrivals = 0;
  std::map<int, std::size_t> answers;  // by status; 0: none
  std::vector<std::string> violations; // of the stated request rate
};

class overload_run {
 public:
  overload_run(boost::asio::io_context& context, overload_options options);

  overload_result run();

 private:
  // One second of the run, for the printed timeline.
  struct second {
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t arrivals = 0;
    std::size_t rejections = 0;
    int failures = 0;
  };

  void add_endpoint();
  void apply_terms(counting_endpoint& endpoint) const;
  boost::asio::awaitable<void> replace_failed(std::string id);
  boost::asio::awaitable<void> announce();
  boost::asio::awaitable<void> send_clumps();
  boost::asio::awaitable<void> send_call(const gateway_process& d);
  boost::asio::awaitable<void> sample();
  [[nodiscard]] std::size_t total_arrivals() const;
  [[nodiscard]] std::size_t total_rejections() const;

  boost::asio::io_context& context_;
  overload_options options_;
  std::mt19937_64 random_;
  gateway_fleet fleet_;
  http::client client_;
  bool is_announced_ = false;
  bool is_tightened_ = false; // the endpoints let fewer wait
  bool is_stopped_ = false;
  int active_ = 0;
  std::uint64_t last_call_ = 0;
  request_senders senders_;
  overload_result result_;
  second current_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_OVERLOAD_RUN_H_
