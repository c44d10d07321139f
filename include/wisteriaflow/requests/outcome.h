// The final outcomes of a request and the HTTP response to each.
//
// Every response has the header `Wisteriaflow-Outcome`, from which a caller learns whether the
// request was run: "answered", "refused-not-run", "outcome-unknown" or "invalid".

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

// A complete response, independent of any HTTP library.
struct response_parts {
  int status = 200;
  std::vector<header_field> fields;
  std::string body;

  friend bool operator==(const response_parts&, const response_parts&) = default;
};

// Why a request was refused without being run, with the HTTP status of the response.
enum class refusal_reason {
  over_share,        // 429: the workspace has used up its share of the capacity
  deadline_too_near, // 503: the answer would come after the caller's deadline
  no_endpoint,       // 503: no endpoint can take the request
  store_unavailable, // 503: the claim of the idempotency key could not be stored
  draining,          // 503: the daemon is draining
  overloaded,        // 503: a queue of the daemon is full
  timed_out,         // 503: the caller's deadline passed before an endpoint got the request
  caller_gone,       // 503: the caller closed the connection
};

// Why it is unknown whether a request was run; the HTTP status of the response is 504.
enum class unknown_reason {
  connection_lost,   // the connection to an endpoint that had the request was lost
  timed_out,         // the caller's deadline passed while an endpoint had the request
  earlier_run_lost,  // another run under the same key ended without a known outcome
  key_too_old,       // the key is older than the retention time of keys
  retries_exhausted, // every attempt that the retry limits allow has failed
  answer_incomplete, // the endpoint's answer has a gap that may not be filled by a second run
  answer_too_large,  // the endpoint's answer exceeds the size limit
  caller_gone,       // the caller closed the connection
};

// The endpoint answered, with a status of success or error.
struct answered {
  int status = 200;

  friend bool operator==(const answered&, const answered&) = default;
};

// No endpoint has run the request, nor will: no byte reached one that might. The caller may send it
// again at `retry_at`. `message` replaces the default text for the reason if it is not empty.
struct refused_not_run {
  refusal_reason reason = refusal_reason::no_endpoint;
  wall_time retry_at{};
  std::string message;

  friend bool operator==(const refused_not_run&, const refused_not_run&) = default;
};

// The request may or may not have been run; the caller must assume neither.
struct outcome_unknown {
  unknown_reason reason = unknown_reason::connection_lost;

  friend bool operator==(const outcome_unknown&, const outcome_unknown&) = default;
};

// The request is invalid and was not run. `status` is 400, 404, 409, 413 or 431.
struct invalid {
  int status = 400;
  std::string message;

  friend bool operator==(const invalid&, const invalid&) = default;
};

using outcome = std::variant<answered, refused_not_run, outcome_unknown, invalid>;

// The name of a reason in an error body, such as "over_share".
[[nodiscard]] std::string_view name_of(refusal_reason reason);
[[nodiscard]] std::string_view name_of(unknown_reason reason);

// The value of the `Wisteriaflow-Outcome` header.
[[nodiscard]] std::string_view name_of(const outcome& value);

// The response to `value`; for `answered` only the status and the outcome header. `Retry-After` is
// in whole seconds from `now`, rounded up, at least 1.
[[nodiscard]] response_parts outcome_response(const outcome& value, wall_time now);

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_OUTCOME_H_
