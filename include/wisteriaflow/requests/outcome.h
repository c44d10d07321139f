// The final outcomes of a request, and the one documented response of each.

#ifndef WISTERIAFLOW_REQUESTS_OUTCOME_H_
#define WISTERIAFLOW_REQUESTS_OUTCOME_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::requests {

// One header field of a response.
struct header_field {
  std::string name;
  std::string value;

  friend bool operator==(const header_field&, const header_field&) = default;
};

// A whole response, free of any HTTP library.
struct response_parts {
  int status = 200;
  std::vector<header_field> fields;
  std::string body;

  friend bool operator==(const response_parts&, const response_parts&) = default;
};

// Why a request was refused without being run.
enum class refusal_reason {
  over_share,        // 429: the workspace is over its share
  deadline_too_near, // 503: the answer would come after the caller's deadline
  no_endpoint,       // 503: no endpoint can take it
  store_unavailable, // 503: a claim could not be kept
  draining,          // 503: the daemon is leaving
  overloaded,        // 503: a queue is full
  timed_out,         // 503: the caller's deadline passed before it was sent anywhere
  caller_gone,       // nobody waits for it any more
};

// Why nobody can say whether a request was run.
enum class unknown_reason {
  connection_lost,  // an endpoint had the request and did not answer
  timed_out,        // the caller's deadline passed while an endpoint had the request
  earlier_run_lost, // another run under the same key ended without a known outcome
  key_too_old,      // the key is older than keys are remembered
  retries_exhausted,
  answer_incomplete, // the endpoint's answer has a gap that may not be filled by a second run
  answer_too_large,
  caller_gone, // nobody waits for it any more
};

// The endpoint's answer, whatever its status.
struct answered {
  int status = 200;

  friend bool operator==(const answered&, const answered&) = default;
};

// No byte of the request reached an endpoint that might run it.
struct refused_not_run {
  refusal_reason reason = refusal_reason::no_endpoint;
  wall_time retry_at{};
  std::string message;

  friend bool operator==(const refused_not_run&, const refused_not_run&) = default;
};

// The request may have been run; the caller must not assume either.
struct outcome_unknown {
  unknown_reason reason = unknown_reason::connection_lost;

  friend bool operator==(const outcome_unknown&, const outcome_unknown&) = default;
};

// The request itself is at fault and was not run. `status` is 400, 404, 409, 413 or 431.
struct invalid {
  int status = 400;
  std::string message;

  friend bool operator==(const invalid&, const invalid&) = default;
};

using outcome = std::variant<answered, refused_not_run, outcome_unknown, invalid>;

// The name of a reason as it stands in an error body, such as "over_share".
[[nodiscard]] std::string_view name_of(refusal_reason reason);
[[nodiscard]] std::string_view name_of(unknown_reason reason);

// The value of the `Wisteriaflow-Outcome` header.
[[nodiscard]] std::string_view name_of(const outcome& value);

// The documented response to `value`; for `answered` only its status and headers. `Retry-After` is
// whole seconds from `now`, rounded up, at least 1.
[[nodiscard]] response_parts outcome_response(const outcome& value, wall_time now);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_OUTCOME_H_
