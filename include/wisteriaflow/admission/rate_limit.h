// A rate limit kept as one point in time (the generic cell rate algorithm).

#ifndef WISTERIAFLOW_ADMISSION_RATE_LIMIT_H_
#define WISTERIAFLOW_ADMISSION_RATE_LIMIT_H_

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::admission {

// Lets `rate` units a second through, with bursts of up to `burst` seconds' worth. A single
// request may be larger than a burst; it is let through and the limit is in debt afterwards.
class rate_limit {
 public:
  // A rate of 0 lets nothing through.
  rate_limit(double rate, std::chrono::milliseconds burst);

  // When the next request is let through: `now` or later.
  [[nodiscard]] mono_time open_at(mono_time now) const;

  // Units that would go through at once now; 0 in debt.
  [[nodiscard]] double available(mono_time now) const;

  // Counts `amount` units, whether open or not. A negative amount gives units back.
  void take(double amount, mono_time now);

  // Changes the rate; a debt is kept in units, not in seconds.
  void set_rate(double rate, mono_time now);

  [[nodiscard]] double rate() const { return rate_; }

 private:
  double rate_;
  std::chrono::milliseconds burst_;
  mono_time paid_until_; // all that was let through is covered by the rate up to here
};

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_RATE_LIMIT_H_
