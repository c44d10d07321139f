#include "wisteriaflow/admission/admission_control.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::admission {
namespace {

constexpr double drain_rate_gain = 0.05;
constexpr double min_gap_seconds = 1e-6; // between two finished requests
constexpr double min_drain_rate = 1;     // requests/s, lower bound for spacing the retry times
constexpr std::chrono::milliseconds min_retry_delay{50};

mono_time after(mono_time now, double s)
{
  return now + std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
}

} // namespace

admission_control::admission_control(admission_options options,
                                     workspace_limiter_options limiter_options)
    : options_(options), limiter_(std::move(limiter_options))
{
}

mono_time admission_control::schedule_retry(mono_time earliest, double spacing_seconds,
                                            mono_time& last_assigned) const
{
  const auto limit = earliest + options_.max_retry_delay;
  last_assigned = std::min(limit, after(std::max(earliest, last_assigned), spacing_seconds));
  return last_assigned;
}

mono_time admission_control::with_jitter(mono_time at, mono_time now, std::mt19937_64& rng) const
{
  const auto wait = std::max<mono_time::duration>(at - now, min_retry_delay);
  std::uniform_real_distribution<double> uniform(0, options_.max_jitter_fraction);
  const double seconds = std::chrono::duration<double>(wait).count();
  return now + wait + (after(now, seconds * uniform(rng)) - now);
}

std::optional<refused> admission_control::check(const admission_request& request, mono_time now)
{
  if (in_flight_ >= options_.max_in_flight) {
    const double each = 1 / std::max(drain_rate_, min_drain_rate);
    return refused{refusal_reason::daemon_full, schedule_retry(now, each, last_assigned_retry_)};
  }
  const bool batch_limit_reached =
      in_flight_ >= options_.max_in_flight * options_.max_batch_in_flight_share ||
      request.utilisation >= options_.max_batch_utilisation;
  if (request.priority == request_priority::batch && batch_limit_reached) {
    return refused{refusal_reason::batch_shed, now + options_.batch_retry_delay};
  }
  if (!request.first_token_at) {
    return refused{refusal_reason::no_endpoint, now + options_.no_endpoint_retry_delay};
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
  if (auto refusal = check(request, now)) {
    refusal->retry_at = with_jitter(refusal->retry_at, now, rng);
    return *refusal;
  }
  if (const auto over = limiter_.admit(request.workspace, request.tokens, now)) {
    if (!over->unit) {
      return refused{refusal_reason::unknown_workspace, over->retry_at};
    }
    const double rate = limiter_.allowance(request.workspace)[share_unit::tokens_per_second];
    const double each = rate > 0 ? request.tokens / rate : 1;
    const auto at =
        schedule_retry(over->retry_at, each, last_assigned_retry_by_workspace_[request.workspace]);
    return refused{refusal_reason::over_share, with_jitter(at, now, rng)};
  }
  ++in_flight_;
  return admitted{.workspace = request.workspace, .tokens = request.tokens};
}

void admission_control::finish(const admitted& request, double used_tokens, mono_time now)
{
  in_flight_ = std::max(0, in_flight_ - 1);
  limiter_.finish(request.workspace, request.tokens, used_tokens, now);
  if (last_finish_at_) {
    // Averages the gaps between finished requests rather than the rate: the short gaps of a burst
    // would make an averaged rate too high.
    const double gap =
        std::max(min_gap_seconds, std::chrono::duration<double>(now - *last_finish_at_).count());
    const double mean_gap = drain_rate_ > 0 ? 1 / drain_rate_ : gap;
    drain_rate_ = 1 / (mean_gap + drain_rate_gain * (gap - mean_gap));
  }
  last_finish_at_ = now;
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
  case refusal_reason::batch_shed:
    return "batch work gives way";
  case refusal_reason::deadline_unreachable:
    return "the deadline cannot be met";
  case refusal_reason::no_endpoint:
    return "no endpoint";
  }
  return "unknown";
}

} // namespace wisteriaflow::admission
