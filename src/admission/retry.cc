#include "wisteriaflow/admission/retry.h"

#include <algorithm>

namespace wisteriaflow::admission {
namespace {

constexpr int largest_doubling = 20;

} // namespace

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), saved_(options.most_saved)
{
}

void retry_budget::on_fresh()
{
  saved_ = std::min(options_.most_saved, saved_ + options_.fraction);
}

bool retry_budget::try_retry(mono_time now)
{
  if (now > topped_up_at_) {
    const double elapsed = std::chrono::duration<double>(now - topped_up_at_).count();
    saved_ = std::min(options_.most_saved, saved_ + elapsed * options_.min_per_second);
    topped_up_at_ = now;
  }
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

mono_time next_retry_at(const backoff_options& options, int retry, mono_time now,
                        std::mt19937_64& rng)
{
  const int doublings = std::clamp(retry, 0, largest_doubling);
  const auto limit = std::min(options.limit, options.base * (1 << doublings));
  const std::chrono::duration<double, std::milli> longest = limit;
  std::uniform_real_distribution<double> uniform(0, longest.count());
  const std::chrono::duration<double, std::milli> wait(uniform(rng));
  return now + std::chrono::duration_cast<mono_time::duration>(wait);
}

} // namespace wisteriaflow::admission
