#include "wisteriaflow/capacity/demand_window.h"

#include <algorithm>

namespace wisteriaflow::capacity {
namespace {

pool_demand highest_of(const pool_demand& a, const pool_demand& b)
{
  return {.requests = std::max(a.requests, b.requests),
          .prefill_tokens = std::max(a.prefill_tokens, b.prefill_tokens),
          .decode_tokens = std::max(a.decode_tokens, b.decode_tokens)};
}

} // namespace

pool_demand demand_window::add(const pool_demand& measured, mono_time now)
{
  while (!slots_.empty() && slots_.front().forgotten_at <= now) {
    slots_.pop_front();
  }
  if (slots_.empty() || slots_.back().ends <= now) {
    slots_.push_back(
        {.highest = measured, .ends = now + part_, .forgotten_at = now + part_ * slots});
  }
  slots_.back().highest = highest_of(slots_.back().highest, measured);
  pool_demand out = measured;
  for (const auto& s : slots_) {
    out = highest_of(out, s.highest);
  }
  return out;
}

} // namespace wisteriaflow::capacity
