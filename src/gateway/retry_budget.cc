#include "wisteriaflow/gateway/retry_budget.h"

namespace wisteriaflow::gateway {
namespace {

constexpr int slices_per_window = 20;

} // namespace

retry_budget::slice& retry_budget::current(const std::string& service, mono_time now)
{
  const auto width = options_.window / slices_per_window;
  const auto number = static_cast<std::int64_t>(now.time_since_epoch() / width);
  auto& slices = services_[service];
  // Keeps one slice more than the window has, since the oldest one is only partly outside of it.
  while (!slices.empty() && slices.front().number < number - slices_per_window) {
    slices.pop_front();
  }
  if (slices.empty() || slices.back().number != number) {
    slices.push_back({.number = number});
  }
  return slices.back();
}

void retry_budget::on_call(const std::string& service, mono_time now)
{
  ++current(service, now).calls;
}

bool retry_budget::take(const std::string& service, mono_time now)
{
  auto& last = current(service, now);
  double calls = 0;
  double repeats = 1;
  for (const auto& s : services_[service]) {
    calls += s.calls;
    repeats += s.retries;
  }
  const double fleet_slack = options_.fleet_allowance / static_cast<double>(daemons_);
  if (repeats > options_.safety_factor * (options_.retry_ratio * calls + fleet_slack)) {
    return false;
  }
  ++last.retries;
  return true;
}

} // namespace wisteriaflow::gateway
