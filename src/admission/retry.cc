#include "wisteriaflow/admission/retry.h"

#include <algorithm>

namespace wisteriaflow::admission {
namespace {

constexpr int max_doublings = 20;

} // namespace

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), balance_(options.max_balance)
{
}

void retry_budget::on_first_attempt()
{
  balance_ = std::min(options_.max_balance, balance_ + options_.fraction);
}

bool retry_budget::try_retry(mono_time now)
{
  if (now > refilled_at_) {
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    balance_ = std::min(options_.max_balance, balance_ + elapsed * options_.min_per_second);
    refilled_at_ = now;
  }
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  return true;
}

mono_time next_retry_at(const backoff_options& options, int retry, mono_time now,
                        std::mt19937_64& rng)
{
  const int doublings = std::clamp(retry, 0, max_doublings);
  const auto limit = std::min(options.limit, options.base * (1 << doublings));
  const std::chrono::duration<double, std::milli> longest = limit;
  std::uniform_real_distribution<double> uniform(0, longest.count());
  const std::chrono::duration<double, std::milli> wait(uniform(rng));
  return now + std::chrono::duration_cast<mono_time::duration>(wait);
}

} // namespace wisteriaflow::admission
