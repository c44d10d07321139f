#include "wisteriaflow/gateway/drain_schedule.h"

#include <algorithm>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Between the last answers and the kill: daemons have a fraction of a processor, the signal may
// arrive late, and all answers of the last moment have to be written.
constexpr milliseconds answer_margin{750};
constexpr milliseconds process_margin{300};
// Part of the grace in which calls of any length are accepted.
constexpr int long_calls_numerator = 5;
constexpr int long_calls_denominator = 16;
// Callers that still use the daemon keep its process running: without it, their next request would
// end with a reset that does not tell whether the request has run.
constexpr milliseconds quiet_time{1'000};

} // namespace

drain_schedule make_drain_schedule(mono_time began_at, milliseconds grace,
                                   milliseconds caller_memory)
{
  const auto killed_at = began_at + grace;
  const auto answers_due_at = std::max(began_at, killed_at - answer_margin);
  return {.began_at = began_at,
          .long_calls_until = began_at + grace * long_calls_numerator / long_calls_denominator,
          .callers_gone_at = std::min(answers_due_at, began_at + caller_memory),
          .answers_due_at = answers_due_at,
          .process_ends_at = std::max(answers_due_at, killed_at - process_margin)};
}

bool drain_schedule::can_finish(mono_time now, mono_time call_deadline) const
{
  return now < long_calls_until || call_deadline <= answers_due_at;
}

bool drain_schedule::may_end_early(mono_time now, mono_time last_request_at) const
{
  return callers_gone_at <= now && last_request_at + quiet_time <= now;
}

} // namespace wisteriaflow::gateway
