#include "wisteriaflow/gateway/attempt_outcome.h"

#include "wisteriaflow/http/status.h"

namespace wisteriaflow::gateway {
namespace {

namespace status = http::status;

// Statuses that callers take to mean "not run". If the endpoint doesn't state explicitly that it
// did not run the request, such a status must not be forwarded.
bool implies_not_run(int code)
{
  return code == status::request_timeout || code == status::misdirected_request ||
         code == status::too_many_requests || code == status::service_unavailable;
}

} // namespace

attempt_outcome classify_answer(const answer_head& head, const std::string& request_id)
{
  if (head.not_run) {
    return attempt_outcome::not_run;
  }
  const bool other_request = !head.request_id.empty() && head.request_id != request_id;
  if (other_request || implies_not_run(head.status)) {
    return attempt_outcome::no_valid_answer;
  }
  if (status::is_success(head.status)) {
    const bool is_signed = head.has_signature && head.request_id == request_id;
    return is_signed ? attempt_outcome::answered : attempt_outcome::no_valid_answer;
  }
  return head.status >= status::first_server_error ? attempt_outcome::failed
                                                   : attempt_outcome::answered;
}

attempt_history record_attempt(attempt_history history, attempt_outcome outcome)
{
  ++history.sent;
  history.may_have_run = history.may_have_run || outcome != attempt_outcome::not_run;
  return history;
}

int final_status(const attempt_history& history)
{
  if (!history.may_have_run) {
    return status::service_unavailable;
  }
  return history.timed_out ? status::gateway_timeout : status::bad_gateway;
}

bool may_retry(const route& r, const attempt_history& history)
{
  if (history.sent >= r.max_attempts) {
    return false;
  }
  return !history.may_have_run || r.repeatable();
}

} // namespace wisteriaflow::gateway
