// Limits on retries: a retry budget shared by all requests, and an exponential backoff for each
// request.
//
//   if (budget.try_retry(now)) { schedule(next_retry_at(backoff, retry, now, rng)); }

#ifndef WISTERIAFLOW_ADMISSION_RETRY_H_
#define WISTERIAFLOW_ADMISSION_RETRY_H_

#include <chrono>
#include <random>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::admission {

struct retry_budget_options {
  double fraction = 0.1;     // retries earned by each first attempt
  double min_per_second = 1; // retries earned regardless of traffic
  double max_balance = 20;   // most retries that can accumulate; also the initial balance
};

// Limits retries to a fraction of first attempts, so that the loss of a zone does not cause a retry
// storm. Works as a token bucket whose tokens are retries.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options);

  // Records the first attempt of a request, which earns `fraction` of a retry.
  void on_first_attempt();

  // Takes one retry from the budget; returns false if the budget is exhausted.
  [[nodiscard]] bool try_retry(mono_time now);

 private:
  retry_budget_options options_;
  double balance_;
  mono_time refilled_at_;
};

struct backoff_options {
  std::chrono::milliseconds base{20};     // longest delay of the first retry
  std::chrono::milliseconds limit{2'000}; // longest delay of any retry
};

// Returns when to make retry number `retry` (counted from 0). The delay is drawn uniformly between
// 0 and a bound that starts at `base`, doubles with each retry and stops at `limit` ("full
// jitter").
[[nodiscard]] mono_time next_retry_at(const backoff_options& options, int retry, mono_time now,
                                      std::mt19937_64& rng);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_RETRY_H_
