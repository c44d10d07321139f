// Whether a request is let in: its workspace's share, this daemon's bound on requests in flight,
// its deadline, and batch work giving way to interactive work. A refusal is immediate and tells
// when to come back.

#ifndef WISTERIAFLOW_ADMISSION_ADMISSION_CONTROL_H_
#define WISTERIAFLOW_ADMISSION_ADMISSION_CONTROL_H_

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <variant>

#include "wisteriaflow/admission/workspace_limiter.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::admission {

enum class request_priority { interactive, batch };

// What admission needs to know of a request.
struct admission_request {
  workspace_id workspace;
  double tokens = 0; // prompt and expected output
  request_priority priority = request_priority::interactive;
  mono_time deadline;
  // Routing's prediction: when the first token could come; absent if no endpoint can be given.
  std::optional<mono_time> first_token_at;
  double utilisation = 0; // of the endpoints, 0 to 1 (`endpoint_table::utilisation`)
};

enum class refusal_reason {
  unknown_workspace,
  over_share,  // of the workspace: 429
  daemon_full, // 503, like those below
  batch_gives_way,
  deadline_unreachable,
  no_endpoint,
};

// The request was not run. `retry_at` is later than the time of the refusal.
struct refused {
  refusal_reason reason = refusal_reason::no_endpoint;
  mono_time retry_at;

  friend bool operator==(const refused&, const refused&) = default;
};

// Kept by the caller and handed back to `finish` when the request ends.
struct admitted {
  workspace_id workspace;
  double tokens = 0;

  friend bool operator==(const admitted&, const admitted&) = default;
};

using admission = std::variant<admitted, refused>;

struct admission_options {
  int max_in_flight = 256;        // requests of this daemon
  double batch_in_flight = 0.5;   // share of `max_in_flight` up to which batch work is let in
  double batch_utilisation = 0.7; // and of the endpoints' batch places
  std::chrono::milliseconds batch_retry{5'000};
  std::chrono::milliseconds no_endpoint_retry{1'000};
  double jitter = 0.25; // part of the wait by which it is lengthened at random, at most
  std::chrono::milliseconds longest_retry{60'000};
};

// Admission of one daemon. Not thread-safe; the core owns it.
class admission_control {
 public:
  admission_control(admission_options options, workspace_limiter_options limiter_options);

  // The shares; see `workspace_limiter` for when to feed and refresh it.
  [[nodiscard]] workspace_limiter& shares() { return shares_; }

  [[nodiscard]] admission admit(const admission_request& request, mono_time now,
                                std::mt19937_64& rng);

  // An admitted request has ended having used `used_tokens`.
  void finish(const admitted& request, double used_tokens, mono_time now);

  [[nodiscard]] int in_flight() const { return in_flight_; }
  // Requests that ended per second, measured.
  [[nodiscard]] double drain_rate() const { return drain_rate_; }

 private:
  std::optional<refused> check(const admission_request& request, mono_time now);
  mono_time place_in_queue(mono_time base, double seconds, mono_time& promised) const;
  mono_time with_jitter(mono_time at, mono_time now, std::mt19937_64& rng) const;

  admission_options options_;
  workspace_limiter shares_;
  int in_flight_ = 0;
  double drain_rate_ = 0;
  std::optional<mono_time> last_end_;
  // Callers turned away are told one after another to come back, as the queue drains.
  mono_time promised_;
  std::map<workspace_id, mono_time> promised_to_;
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_ADMISSION_CONTROL_H_
