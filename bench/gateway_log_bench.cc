// Measures the processor time and the log bytes per request of the gateway with and without one log
// line per attempt. Two daemon processes, one of each kind, get requests in turn within one run.
//
// Requests as fast as they are answered, which exceeds the log budget:
//
//   gateway_log_bench --requests=20000
//
// A rate within the log budget, so that every attempt has its line:
//
//   gateway_log_bench --requests=1500 --per_second=30

#include <array>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>

#include "fakes/run.h"
#include "gateway_system/gateway_fleet.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"

ABSL_FLAG(int, requests, 20'000, "requests to each of the two daemons");
ABSL_FLAG(int, per_second, 0, "requests a second; 0: as fast as they are answered");

namespace wisteriaflow::gateway_system_tests {
namespace {

using namespace std::chrono_literals;

constexpr int requests_per_turn = 500;
constexpr double microseconds = 1e6;

// Returns the processor time used by all threads of the daemon's process, in seconds.
double processor_time(const gateway_process& d)
{
  clockid_t clock = 0;
  timespec used{};
  if (clock_getcpuclockid(d.running->id(), &clock) != 0 || clock_gettime(clock, &used) != 0) {
    throw std::runtime_error("cannot read the processor time of " + d.id);
  }
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

struct measured_daemon {
  const char* name = "";
  gateway_process* daemon = nullptr;
  double cpu_seconds = 0; // used while requests were sent to this daemon
  std::size_t bytes_before = 0;
};

class log_bench {
 public:
  log_bench()
  {
    fleet_.add_endpoint();
    daemons_[0] = {"with", &fleet_.start_daemon({.log_level = "info"})};
    daemons_[1] = {"without", &fleet_.start_daemon({.log_level = "error"})};
    for (auto& d : daemons_) {
      await_ready(*d.daemon);
      send(*d.daemon, 1); // opens connections and fills caches before the measurement
      d.bytes_before = d.daemon->running->output().size();
    }
  }

  void run(int requests)
  {
    for (int sent = 0; sent < requests; sent += requests_per_turn) {
      for (auto& d : daemons_) {
        const double before = processor_time(*d.daemon);
        send(*d.daemon, requests_per_turn);
        d.cpu_seconds += processor_time(*d.daemon) - before;
      }
    }
    context_.restart();
    context_.run_for(1s); // lets the daemons write their remaining log lines
    for (const auto& d : daemons_) {
      const auto bytes = d.daemon->running->output().size() - d.bytes_before;
      std::cout << d.name << " a line for each attempt: " << d.cpu_seconds / requests * microseconds
                << " us, " << static_cast<double>(bytes) / requests << " bytes a request\n";
    }
  }

 private:
  void await_ready(const gateway_process& d)
  {
    for (int status = 0; status != 200;) {
      context_.restart();
      context_.run_for(20ms);
      try {
        status = fakes::call(context_, client_, d.readiness, {.target = "/ready"}).status;
      } catch (const http::http_error&) {
        status = 0; // not listening yet
      }
    }
  }

  void send(const gateway_process& d, int requests)
  {
    for (int i = 0; i < requests; ++i) {
      const auto answer = fakes::call(context_, client_, d.callers,
                                      {.method = "GET",
                                       .target = "/safe/1",
                                       .fields = {{"Host", gateway_fleet::host},
                                                  {"Request-Id", "r" + std::to_string(++last_)},
                                                  {"Api-Key", "k1"}}});
      if (answer.status != 200) {
        throw std::runtime_error("a request failed with status " + std::to_string(answer.status));
      }
      if (per_second_ > 0) {
        context_.restart();
        context_.run_for(1'000ms / per_second_);
      }
    }
  }

  boost::asio::io_context context_;
  http::client client_{context_};
  gateway_fleet fleet_{context_};
  std::array<measured_daemon, 2> daemons_;
  int per_second_ = absl::GetFlag(FLAGS_per_second);
  int last_ = 0;
};

} // namespace
} // namespace wisteriaflow::gateway_system_tests

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  try {
    wisteriaflow::gateway_system_tests::log_bench bench;
    bench.run(absl::GetFlag(FLAGS_requests));
  } catch (const std::exception& e) {
    std::cerr << "gateway_log_bench: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
