// Bounds the retries that a service gets in addition to the first attempts of calls, over a sliding
// window and the whole fleet, so that retries cannot multiply an overload.
//
//   budget.on_call("chat", now);
//   if (budget.take("chat", now)) { ... retry ... }

#ifndef WISTERIAFLOW_GATEWAY_RETRY_BUDGET_H_
#define WISTERIAFLOW_GATEWAY_RETRY_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

struct retry_budget_options {
  double retry_ratio = 0.1;   // retries per call
  double fleet_allowance = 0; // retries of the fleet per window, regardless of the number of calls
  std::chrono::milliseconds window{10'000}; // length of the sliding window
  // Part of the bound that is used. The rest covers calls that left this process twice without
  // being counted, and a restart, which loses the window.
  double safety_factor = 0.6;
};

// One daemon's part of the budget. Not thread-safe.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options) : options_(options) {}

  // Sets the number of daemons among which the fleet allowance is divided; at least 1.
  void set_daemons(std::size_t n) { daemons_ = n; }

  // Counts the first attempt of a call to `service`.
  void on_call(const std::string& service, mono_time now);

  // Takes one retry for `service` from the budget; returns false if it is exhausted.
  [[nodiscard]] bool take(const std::string& service, mono_time now);

 private:
  struct slice {
    std::int64_t number = 0; // sequence number of the slice, since the clock's epoch
    std::uint32_t calls = 0;
    std::uint32_t retries = 0;
  };

  slice& current(const std::string& service, mono_time now);

  retry_budget_options options_;
  std::size_t daemons_ = 1;
  std::map<std::string, std::deque<slice>> services_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RETRY_BUDGET_H_
