#include "wisteriaflow/capacity/launch_backoff.h"

#include <algorithm>

namespace wisteriaflow::capacity {
namespace {

constexpr int max_doublings = 16;

} // namespace

launch_backoff::launch_backoff(launch_backoff_options options)
    : options_(options), rng_(options.seed)
{
}

void launch_backoff::on_refused(const offer_key& key, mono_time now)
{
  auto& s = states_[key];
  const auto doubled = options_.initial * (1 << std::min(s.refusals, max_doublings));
  const auto longest = std::min<std::chrono::milliseconds>(doubled, options_.limit);
  std::uniform_int_distribution<std::int64_t> draw(longest.count() / 2, longest.count());
  ++s.refusals;
  s.retry_at = std::max(s.retry_at, now + std::chrono::milliseconds(draw(rng_)));
}

void launch_backoff::on_started(const offer_key& key)
{
  const auto it = states_.find(key);
  if (it != states_.end()) {
    it->second.refusals = 0;
  }
}

void launch_backoff::on_reclaimed(const offer_key& key, mono_time now)
{
  auto& s = states_[key];
  s.retry_at = std::max(s.retry_at, now + options_.reclaim_backoff);
}

bool launch_backoff::may_launch(const offer_key& key, mono_time now) const
{
  return retry_at(key) <= now;
}

mono_time launch_backoff::retry_at(const offer_key& key) const
{
  const auto it = states_.find(key);
  return it == states_.end() ? mono_time::min() : it->second.retry_at;
}

} // namespace wisteriaflow::capacity
