#include "wisteriaflow/admission/rate_limit.h"

#include <algorithm>

namespace wisteriaflow::admission {
namespace {

// Bounds a debt in time: with a rate near 0 it would overflow the range of the clock.
constexpr double max_debt_seconds = 3600;

mono_time::duration from_seconds(double s)
{
  const double bounded = std::clamp(s, -max_debt_seconds, max_debt_seconds);
  return std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(bounded));
}

} // namespace

rate_limit::rate_limit(double rate, std::chrono::milliseconds burst)
    : rate_(std::max(0.0, rate)), burst_(burst)
{
}

mono_time rate_limit::next_allowed_at(mono_time now) const
{
  if (rate_ <= 0) {
    return now + from_seconds(max_debt_seconds);
  }
  return std::max(now, theoretical_arrival_ - burst_);
}

mono_time rate_limit::next_allowed_at(mono_time now, double reserved) const
{
  if (rate_ <= 0 || reserved <= 0) {
    return next_allowed_at(now);
  }
  return std::max(now, theoretical_arrival_ - burst_ + from_seconds(reserved / rate_));
}

double rate_limit::capacity() const
{
  return std::chrono::duration<double>(burst_).count() * rate_;
}

double rate_limit::available(mono_time now) const
{
  const auto credit = burst_ - (std::max(now, theoretical_arrival_) - now);
  return std::max(0.0, std::chrono::duration<double>(credit).count() * rate_);
}

void rate_limit::consume(double amount, mono_time now)
{
  if (rate_ <= 0) {
    return;
  }
  theoretical_arrival_ = std::max(now, theoretical_arrival_) + from_seconds(amount / rate_);
}

void rate_limit::set_rate(double rate, mono_time now)
{
  const double old_rate = rate_;
  rate_ = std::max(0.0, rate);
  if (theoretical_arrival_ <= now || rate_ <= 0) {
    return;
  }
  const double debt = std::chrono::duration<double>(theoretical_arrival_ - now).count();
  theoretical_arrival_ = now + from_seconds(debt * old_rate / rate_);
}

} // namespace wisteriaflow::admission
