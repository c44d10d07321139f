// Retries: a budget over all requests and a backoff for each one.

#ifndef WISTERIAFLOW_ADMISSION_RETRY_H_
#define WISTERIAFLOW_ADMISSION_RETRY_H_

#include <chrono>
#include <random>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::admission {

struct retry_budget_options {
  double fraction = 0.1;     // retries allowed for each fresh request
  double min_per_second = 1; // allowed also without fresh requests
  double most_saved = 20;    // retries that may be saved up
};

// Keeps retries to a fraction of fresh work, so that a zone's loss causes no storm of them.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options);

  // A request came in that is no retry.
  void on_fresh();

  // Takes one retry from the budget; false if there is none left.
  [[nodiscard]] bool try_retry(mono_time now);

 private:
  retry_budget_options options_;
  double saved_;
  mono_time topped_up_at_;
};

struct backoff_options {
  std::chrono::milliseconds base{20}; // longest wait before the first retry
  std::chrono::milliseconds limit{2'000};
};

// When to make retry number `retry` (from 0): uniform between now and a limit that doubles with
// each retry ("full jitter").
[[nodiscard]] mono_time next_retry_at(const backoff_options& options, int retry, mono_time now,
                                      std::mt19937_64& rng);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_RETRY_H_
