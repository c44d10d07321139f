#include "wisteriaflow/admission/admission_control.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::admission {
namespace {

constexpr double drain_gain = 0.05;
constexpr double shortest_gap = 1e-6; // s, between two ends
constexpr double slowest_drain = 1;   // requests/s assumed until measured
constexpr std::chrono::milliseconds shortest_retry{50};

mono_time after(mono_time now, double s)
{
  return now + std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
}

} // namespace

admission_control::admission_control(admission_options options,
                                     workspace_limiter_options limiter_options)
    : options_(options), shares_(std::move(limiter_options))
{
}

mono_time admission_control::place_in_queue(mono_time base, double seconds,
                                            mono_time& promised) const
{
  const auto limit = base + options_.longest_retry;
  promised = std::min(limit, after(std::max(base, promised), seconds));
  return promised;
}

mono_time admission_control::with_jitter(mono_time at, mono_time now, std::mt19937_64& rng) const
{
  const auto wait = std::max<mono_time::duration>(at - now, shortest_retry);
  std::uniform_real_distribution<double> uniform(0, options_.jitter);
  const double seconds = std::chrono::duration<double>(wait).count();
  return now + wait + (after(now, seconds * uniform(rng)) - now);
}

std::optional<refused> admission_control::check(const admission_request& request, mono_time now)
{
  if (in_flight_ >= options_.max_in_flight) {
    const double each = 1 / std::max(drain_rate_, slowest_drain);
    return refused{refusal_reason::daemon_full, place_in_queue(now, each, promised_)};
  }
  const bool crowded = in_flight_ >= options_.max_in_flight * options_.batch_in_flight ||
                       request.utilisation >= options_.batch_utilisation;
  if (request.priority == request_priority::batch && crowded) {
    return refused{refusal_reason::batch_gives_way, now + options_.batch_retry};
  }
  if (!request.first_token_at) {
    return refused{refusal_reason::no_endpoint, now + options_.no_endpoint_retry};
  }
  if (*request.first_token_at > request.deadline) {
    const auto drained = now + (*request.first_token_at - request.deadline);
    return refused{refusal_reason::deadline_unreachable, drained};
  }
  return std::nullopt;
}

admission admission_control::admit(const admission_request& request, mono_time now,
                                   std::mt19937_64& rng)
{
  if (auto no = check(request, now)) {
    no->retry_at = with_jitter(no->retry_at, now, rng);
    return *no;
  }
  if (const auto over = shares_.admit(request.workspace, request.tokens, now)) {
    if (!over->unit) {
      return refused{refusal_reason::unknown_workspace, over->retry_at};
    }
    const double rate = shares_.allowance(request.workspace)[share_unit::tokens_per_second];
    const double each = rate > 0 ? request.tokens / rate : 1;
    const auto at = place_in_queue(over->retry_at, each, promised_to_[request.workspace]);
    return refused{refusal_reason::over_share, with_jitter(at, now, rng)};
  }
  ++in_flight_;
  return admitted{.workspace = request.workspace, .tokens = request.tokens};
}

void admission_control::finish(const admitted& request, double used_tokens, mono_time now)
{
  in_flight_ = std::max(0, in_flight_ - 1);
  shares_.finish(request.workspace, request.tokens, used_tokens, now);
  if (last_end_) {
    // The mean gap is smoothed, not the rate: gaps of bursts would make the rate too high.
    const double gap =
        std::max(shortest_gap, std::chrono::duration<double>(now - *last_end_).count());
    const double mean_gap = drain_rate_ > 0 ? 1 / drain_rate_ : gap;
    drain_rate_ = 1 / (mean_gap + drain_gain * (gap - mean_gap));
  }
  last_end_ = now;
}

std::string_view to_string(refusal_reason reason)
{
  switch (reason) {
  case refusal_reason::unknown_workspace:
    return "unknown workspace";
  case refusal_reason::over_share:
    return "over the workspace's share";
  case refusal_reason::daemon_full:
    return "too many requests in flight";
  case refusal_reason::batch_gives_way:
    return "batch work gives way";
  case refusal_reason::deadline_unreachable:
    return "the deadline cannot be met";
  case refusal_reason::no_endpoint:
    return "no endpoint";
  }
  return "unknown";
}

} // namespace wisteriaflow::admission
