// Bounds the requests that a service gets beyond the first sending of each call, over a sliding
// window and the whole fleet, so that retries cannot multiply an overload.

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
  double ratio = 0.1;                       // repeats for each call
  double slack = 0;                         // repeats of the fleet in a window, whatever the calls
  std::chrono::milliseconds window{10'000}; // sliding
  // Part of the bound that is used: the rest covers calls that left this process twice without
  // being counted, and a restart, which forgets the window.
  double used_part = 0.6;
};

// One daemon's part. Not thread-safe.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options) : options_(options) {}

  // Daemons among which the slack is divided; at least 1.
  void set_daemons(std::size_t n) { daemons_ = n; }

  // A call for `service` was sent for the first time.
  void on_call(const std::string& service, mono_time now);

  // Takes one repeat for `service`; false if the window has no more.
  [[nodiscard]] bool take(const std::string& service, mono_time now);

 private:
  struct slice {
    std::int64_t number = 0; // of the slice of the window
    std::uint32_t calls = 0;
    std::uint32_t repeats = 0;
  };

  slice& current(const std::string& service, mono_time now);

  retry_budget_options options_;
  std::size_t daemons_ = 1;
  std::map<std::string, std::deque<slice>> services_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RETRY_BUDGET_H_
