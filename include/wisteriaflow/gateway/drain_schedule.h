// The times of a drain: until when a leaving daemon accepts calls, by when it must have answered
// them, and when its process ends.
//
//   const auto drain = make_drain_schedule(now, grace);
//   if (!drain.can_finish(now, call_deadline)) {
//     // refuse the call as not run: another daemon can serve it
//   }

#ifndef WISTERIAFLOW_GATEWAY_DRAIN_SCHEDULE_H_
#define WISTERIAFLOW_GATEWAY_DRAIN_SCHEDULE_H_

#include <chrono>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

struct drain_schedule {
  mono_time began_at;
  // Until then, every call is accepted, however long it may take: most of the grace is left for it.
  mono_time long_calls_until;
  // Callers that follow the address lists no longer use the daemon after this time.
  mono_time callers_gone_at;
  // Every accepted call has its final answer by then.
  mono_time answers_due_at;
  // Answers are written by then; soon afterwards the platform kills the process.
  mono_time process_ends_at;

  // Whether a call that arrives at `now` has enough time: it has to end by its deadline.
  [[nodiscard]] bool can_finish(mono_time now, mono_time call_deadline) const;

  // Whether the process may end at `now`, if no call is open and the last request was received at
  // `last_request_at`.
  [[nodiscard]] bool may_end_early(mono_time now, mono_time last_request_at) const;

  friend bool operator==(const drain_schedule&, const drain_schedule&) = default;
};

// `grace` is the time from `began_at` until the platform kills the process; `caller_memory`, for
// how long callers may use an address that they were once given.
[[nodiscard]] drain_schedule make_drain_schedule(mono_time began_at,
                                                 std::chrono::milliseconds grace,
                                                 std::chrono::milliseconds caller_memory);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_DRAIN_SCHEDULE_H_
