// A rate limiter whose state is a single point in time (the generic cell rate algorithm, GCRA).

#ifndef WISTERIAFLOW_ADMISSION_RATE_LIMIT_H_
#define WISTERIAFLOW_ADMISSION_RATE_LIMIT_H_

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::admission {

// Allows `rate` units per second, with bursts of as many units as accrue in the time `burst`. A
// single request may be larger than a burst: it is allowed and leaves the limiter in debt, so that
// the next request has to wait.
//
//   rate_limit limit(100, std::chrono::seconds(1));
//   if (limit.next_allowed_at(now) <= now) { limit.consume(units, now); ... }
class rate_limit {
 public:
  // `rate` is in units per second; with a rate of 0 or less nothing is allowed.
  rate_limit(double rate, std::chrono::milliseconds burst);

  // Earliest time at which a request is allowed: `now` or later.
  [[nodiscard]] mono_time next_allowed_at(mono_time now) const;

  // The same for a request that must leave `reserved` units in the limiter.
  [[nodiscard]] mono_time next_allowed_at(mono_time now, double reserved) const;

  // Units that may be consumed at `now` without going into debt; 0 while in debt.
  [[nodiscard]] double available(mono_time now) const;

  // Consumes `amount` units unconditionally. A negative amount returns units.
  void consume(double amount, mono_time now);

  // Changes the rate. A debt keeps its size in units, so its duration changes with the rate.
  void set_rate(double rate, mono_time now);

  [[nodiscard]] double rate() const { return rate_; }

  // Units that accrue in a burst.
  [[nodiscard]] double capacity() const;

 private:
  double rate_;
  std::chrono::milliseconds burst_;
  mono_time theoretical_arrival_; // GCRA: when the consumed units will have accrued
};

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_RATE_LIMIT_H_
