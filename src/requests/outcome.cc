#include "wisteriaflow/requests/outcome.h"

#include <algorithm>

#include <boost/json.hpp>

namespace wisteriaflow::requests {
namespace {

constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

template <typename... visitors> struct overloaded_visitor : visitors... {
  using visitors::operator()...;
};
template <typename... visitors> overloaded_visitor(visitors...) -> overloaded_visitor<visitors...>;

std::string error_body(std::string_view type, std::string_view reason, std::string_view message)
{
  boost::json::object details;
  details["type"] = type;
  if (!reason.empty()) {
    details["reason"] = reason;
  }
  details["message"] = message;
  return boost::json::serialize(boost::json::object{{"error", std::move(details)}});
}

std::string seconds_until(wall_time at, wall_time now)
{
  const auto left = std::chrono::ceil<std::chrono::seconds>(at - now).count();
  return std::to_string(std::max<std::int64_t>(1, left));
}

std::string_view message_of(refusal_reason reason)
{
  switch (reason) {
  case refusal_reason::over_share:
    return "the workspace is over its share";
  case refusal_reason::deadline_too_near:
    return "no endpoint can answer before the deadline";
  case refusal_reason::no_endpoint:
    return "no endpoint can take the request";
  case refusal_reason::store_unavailable:
    return "the claim of the key could not be stored";
  case refusal_reason::draining:
    return "this daemon is leaving";
  case refusal_reason::overloaded:
    return "a queue of this daemon is full";
  case refusal_reason::timed_out:
    return "the deadline passed before the request was sent to an endpoint";
  case refusal_reason::caller_gone:
    return "the caller closed the connection";
  }
  return "";
}

std::string_view message_of(unknown_reason reason)
{
  switch (reason) {
  case unknown_reason::connection_lost:
    return "the endpoint's answer was lost";
  case unknown_reason::timed_out:
    return "the deadline passed while an endpoint had the request";
  case unknown_reason::earlier_run_lost:
    return "an earlier request with this key has no known outcome";
  case unknown_reason::key_too_old:
    return "the key is older than keys are remembered";
  case unknown_reason::retries_exhausted:
    return "the request was sent but could not be completed";
  case unknown_reason::answer_incomplete:
    return "the endpoint's answer has a gap";
  case unknown_reason::answer_too_large:
    return "the endpoint's answer is over the size limit";
  case unknown_reason::caller_gone:
    return "the caller closed the connection";
  }
  return "";
}

} // namespace

std::string_view name_of(refusal_reason reason)
{
  switch (reason) {
  case refusal_reason::over_share:
    return "over_share";
  case refusal_reason::deadline_too_near:
    return "deadline_too_near";
  case refusal_reason::no_endpoint:
    return "no_endpoint";
  case refusal_reason::store_unavailable:
    return "store_unavailable";
  case refusal_reason::draining:
    return "draining";
  case refusal_reason::overloaded:
    return "overloaded";
  case refusal_reason::timed_out:
    return "timed_out";
  case refusal_reason::caller_gone:
    return "caller_gone";
  }
  return "";
}

std::string_view name_of(unknown_reason reason)
{
  switch (reason) {
  case unknown_reason::connection_lost:
    return "connection_lost";
  case unknown_reason::timed_out:
    return "timed_out";
  case unknown_reason::earlier_run_lost:
    return "earlier_run_lost";
  case unknown_reason::key_too_old:
    return "key_too_old";
  case unknown_reason::retries_exhausted:
    return "retries_exhausted";
  case unknown_reason::answer_incomplete:
    return "answer_incomplete";
  case unknown_reason::answer_too_large:
    return "answer_too_large";
  case unknown_reason::caller_gone:
    return "caller_gone";
  }
  return "";
}

std::string_view name_of(const outcome& value)
{
  return std::visit(overloaded_visitor{
                        [](const answered&) { return std::string_view("answered"); },
                        [](const refused_not_run&) { return std::string_view("refused-not-run"); },
                        [](const outcome_unknown&) { return std::string_view("outcome-unknown"); },
                        [](const invalid&) { return std::string_view("invalid"); },
                    },
                    value);
}

response_parts outcome_response(const outcome& value, wall_time now)
{
  response_parts response;
  response.fields.push_back({"Wisteriaflow-Outcome", std::string(name_of(value))});
  if (!std::holds_alternative<answered>(value)) {
    response.fields.push_back({"Content-Type", "application/json"});
  }
  std::visit(overloaded_visitor{
                 [&](const answered& it) { response.status = it.status; },
                 [&](const refused_not_run& it) {
                   response.status = it.reason == refusal_reason::over_share
                                         ? status_too_many_requests
                                         : status_unavailable;
                   response.fields.push_back({"Retry-After", seconds_until(it.retry_at, now)});
                   response.body = error_body("refused_not_run", name_of(it.reason),
                                              it.message.empty() ? message_of(it.reason)
                                                                 : std::string_view(it.message));
                 },
                 [&](const outcome_unknown& it) {
                   response.status = status_gateway_timeout;
                   response.body =
                       error_body("outcome_unknown", name_of(it.reason), message_of(it.reason));
                 },
                 [&](const invalid& it) {
                   response.status = it.status;
                   response.body = error_body("invalid", "", it.message);
                 },
             },
             value);
  return response;
}

} // namespace wisteriaflow::requests
