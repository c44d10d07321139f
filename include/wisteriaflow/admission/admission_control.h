// Admission control of one daemon.
//
// A request is checked against the daemon's limit of requests in flight, the limits for batch
// requests (which are refused before interactive ones), its deadline, and its workspace's share.
// A refusal is immediate and says when the client should retry.
//
//   admission_control control(options, {.self = id});
//   control.limiter().set_shares(shares, now);
//   const auto result = control.admit(request, now, rng);
//   if (const auto* a = std::get_if<admitted>(&result)) { ... control.finish(*a, used, later); }

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

// Under load, batch requests are refused before interactive ones.
enum class request_priority { interactive, batch };

// The properties of a request that admission depends on.
struct admission_request {
  workspace_id workspace;
  double tokens = 0; // prompt tokens plus expected output tokens
  request_priority priority = request_priority::interactive;
  mono_time deadline;
  // Time of the first token as predicted by routing; absent if routing found no endpoint.
  std::optional<mono_time> first_token_at;
  // Utilisation of the candidate endpoints, 0 to 1 (`endpoint_table::utilisation`).
  double utilisation = 0;
};

// Why a request was refused. The comments give the HTTP status of the response.
enum class refusal_reason {
  unknown_workspace,
  over_share,  // 429: the workspace has used up its share
  daemon_full, // 503, as for the reasons below: the daemon has `max_in_flight` requests
  batch_shed,  // a batch request, refused to leave capacity to interactive ones
  deadline_unreachable,
  no_endpoint,
};

// The request was refused and did not run. `retry_at` is later than the time of the refusal.
struct refused {
  refusal_reason reason = refusal_reason::no_endpoint;
  mono_time retry_at;

  friend bool operator==(const refused&, const refused&) = default;
};

// The request may run. The caller keeps this and passes it to `finish` when the request ends.
struct admitted {
  workspace_id workspace;
  double tokens = 0;

  friend bool operator==(const admitted&, const admitted&) = default;
};

using admission = std::variant<admitted, refused>;

struct admission_options {
  int max_in_flight = 256;                // limit of concurrent requests in this daemon
  double max_batch_in_flight_share = 0.5; // part of `max_in_flight` from which batch is refused
  double max_batch_utilisation = 0.7;     // endpoint utilisation from which batch is refused
  std::chrono::milliseconds batch_retry_delay{5'000};
  std::chrono::milliseconds no_endpoint_retry_delay{1'000};
  double max_jitter_fraction = 0.25; // a retry delay grows at random by up to this fraction
  std::chrono::milliseconds max_retry_delay{60'000};
};

// Decides on admission for one daemon. Not thread-safe; owned by the daemon's core.
class admission_control {
 public:
  admission_control(admission_options options, workspace_limiter_options limiter_options);

  // The limiter of the workspaces' shares. The caller delivers demand reports to it and refreshes
  // it periodically (see `workspace_limiter`).
  [[nodiscard]] workspace_limiter& limiter() { return limiter_; }

  // Admits or refuses a request. An admitted request counts as in flight until `finish`. `rng`
  // supplies the jitter of retry times.
  [[nodiscard]] admission admit(const admission_request& request, mono_time now,
                                std::mt19937_64& rng);

  // Records that an admitted request has ended after using `used_tokens` tokens.
  void finish(const admitted& request, double used_tokens, mono_time now);

  [[nodiscard]] int in_flight() const { return in_flight_; }
  // Smoothed number of requests that finish per second; 0 until two requests have finished.
  [[nodiscard]] double drain_rate() const { return drain_rate_; }

 private:
  std::optional<refused> check(const admission_request& request, mono_time now);
  mono_time schedule_retry(mono_time earliest, double spacing_seconds,
                           mono_time& last_assigned) const;
  mono_time with_jitter(mono_time at, mono_time now, std::mt19937_64& rng) const;

  admission_options options_;
  workspace_limiter limiter_;
  int in_flight_ = 0;
  double drain_rate_ = 0;
  std::optional<mono_time> last_finish_at_;
  // Refused clients get retry times spaced by the drain rate, so that they do not all retry at
  // once. These are the latest times assigned: for the daemon, and for each workspace.
  mono_time last_assigned_retry_;
  std::map<workspace_id, mono_time> last_assigned_retry_by_workspace_;
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_ADMISSION_CONTROL_H_
