#include "wisteriaflow/admission/rate_limit.h"

#include <algorithm>

namespace wisteriaflow::admission {
namespace {

// With a rate near 0 a debt would reach past the end of the clock.
constexpr double longest_debt_seconds = 3600;

mono_time::duration from_seconds(double s)
{
  const double bounded = std::clamp(s, -longest_debt_seconds, longest_debt_seconds);
  return std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(bounded));
}

} // namespace

rate_limit::rate_limit(double rate, std::chrono::milliseconds burst)
    : rate_(std::max(0.0, rate)), burst_(burst)
{
}

mono_time rate_limit::open_at(mono_time now) const
{
  if (rate_ <= 0) {
    return now + from_seconds(longest_debt_seconds);
  }
  return std::max(now, paid_until_ - burst_);
}

double rate_limit::available(mono_time now) const
{
  const auto credit = burst_ - (std::max(now, paid_until_) - now);
  return std::max(0.0, std::chrono::duration<double>(credit).count() * rate_);
}

void rate_limit::take(double amount, mono_time now)
{
  if (rate_ <= 0) {
    return;
  }
  paid_until_ = std::max(now, paid_until_) + from_seconds(amount / rate_);
}

void rate_limit::set_rate(double rate, mono_time now)
{
  const double was = rate_;
  rate_ = std::max(0.0, rate);
  if (paid_until_ <= now || rate_ <= 0) {
    return;
  }
  const double debt = std::chrono::duration<double>(paid_until_ - now).count();
  paid_until_ = now + from_seconds(debt * was / rate_);
}

} // namespace wisteriaflow::admission
