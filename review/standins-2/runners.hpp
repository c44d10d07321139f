// A model runner and a plain runner, as the pages describe them, and what they have run.

#ifndef WISTERIAFLOW_REVIEW_STANDINS_2_RUNNERS_HPP_
#define WISTERIAFLOW_REVIEW_STANDINS_2_RUNNERS_HPP_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "harness.hpp"

namespace review {

// One request that reached a runner.
struct arrival {
  double at = 0;
  std::string runner;
  std::string request;
  bool has_run = false;
  double tokens = 0; // the sum in Token-Usage
};

// What has arrived at all runners of a case. Thread-safe.
class arrivals {
 public:
  void add(arrival a);
  [[nodiscard]] std::vector<arrival> all() const;

 private:
  mutable std::mutex mutex_;
  std::vector<arrival> all_;
};

struct runner_options {
  std::string id;
  std::string service;
  std::string zone;
  std::string version = "v1";
  int slots = 64;
  double kv_tokens = 0; // 0: a plain runner
  ms work{20};          // of a plain request, or between two events of a stream
  int events = 6;       // of a stream
  int keep_alive_s = 0; // stated in Keep-Alive; 0: not stated
  bool spot = false;
  std::function<bool()> fails = [] { return false; }; // whether the next request gets status 500
};

class runner {
 public:
  runner(runner_options options, store& registry, arrivals& log);

  // Reports that it drains, and ends in `leaves` milliseconds if that is not 0.
  void drain(int leaves_ms = 0);
  // The process ends: its entry is removed and its connections are closed.
  void end();
  // The process ends, and its entry stays in the store.
  void crash() { server_.close(); }
  void remove_entry() { registry_.remove("servers", options_.id); }

 private:
  bool serve(const message& request, stream& to);
  bool run(const message& request, stream& to);
  [[nodiscard]] json::object entry(const std::string& state) const;

  runner_options options_;
  store& registry_;
  arrivals& log_;
  std::atomic<int> running_{0};
  server server_;
};

// The two numbers of Token-Usage, added up; 0 without them.
double stated_tokens(const message& request);

} // namespace review

#endif // WISTERIAFLOW_REVIEW_STANDINS_2_RUNNERS_HPP_
