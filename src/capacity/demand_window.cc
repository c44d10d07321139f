#include "wisteriaflow/capacity/demand_window.h"

#include <algorithm>

namespace wisteriaflow::capacity {
namespace {

pool_demand elementwise_max(const pool_demand& a, const pool_demand& b)
{
  return {.requests = std::max(a.requests, b.requests),
          .prefill_tokens = std::max(a.prefill_tokens, b.prefill_tokens),
          .decode_tokens = std::max(a.decode_tokens, b.decode_tokens)};
}

} // namespace

pool_demand demand_window::add(const pool_demand& measured, mono_time now)
{
  while (!slots_.empty() && slots_.front().expires_at <= now) {
    slots_.pop_front();
  }
  if (slots_.empty() || slots_.back().ends_at <= now) {
    slots_.push_back({.peak = measured,
                      .ends_at = now + slot_length_,
                      .expires_at = now + slot_length_ * slots});
  }
  slots_.back().peak = elementwise_max(slots_.back().peak, measured);
  pool_demand out = measured;
  for (const auto& s : slots_) {
    out = elementwise_max(out, s.peak);
  }
  return out;
}

} // namespace wisteriaflow::capacity
