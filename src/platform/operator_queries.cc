#include "wisteriaflow/platform/operator_queries.h"

#include <utility>

#include <boost/json/parse.hpp>

#include "wisteriaflow/base/percent_encoding.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::platform {
namespace {

namespace json = boost::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

// Throws unless the status is 200.
void require_success(const http::response& answer, const std::string& what)
{
  const auto message = what + ": status " + std::to_string(answer.status) + ", " + answer.body;
  switch (answer.status) {
  case status_ok:
    return;
  case status_bad_request:
    throw invalid_input_error(message);
  case status_not_found:
    throw not_found_error(message);
  default:
    throw daemon_unavailable(message);
  }
}

} // namespace

operator_queries::operator_queries(http::client& client, http::socket_address daemon)
    : client_(client), daemon_(std::move(daemon))
{
}

boost::asio::awaitable<json::value> operator_queries::fleet(mono_time deadline)
{
  std::string target = "/operator/v1/fleet";
  co_return co_await send_query(std::move(target), deadline);
}

boost::asio::awaitable<json::value> operator_queries::explain(explain_query query,
                                                              mono_time deadline)
{
  std::string target = "/operator/v1/explain?workspace=" + percent_encoded(query.workspace) +
                       "&labels=" + percent_encoded(query.labels) +
                       "&model=" + percent_encoded(query.model);
  co_return co_await send_query(std::move(target), deadline);
}

boost::asio::awaitable<json::value> operator_queries::send_query(std::string target,
                                                                 mono_time deadline)
{
  const auto what = "daemon " + to_string(daemon_) + target;
  http::request request{.target = std::move(target)};
  http::response answer;
  try {
    answer = co_await client_.call(daemon_, std::move(request), deadline);
  } catch (const http::http_error& e) {
    throw daemon_unavailable(what + ": " + e.what());
  }
  require_success(answer, what);
  json::error_code ec;
  auto parsed = json::parse(answer.body, ec);
  if (ec) {
    throw daemon_unavailable(what + ": the answer is not JSON");
  }
  co_return parsed;
}

} // namespace wisteriaflow::platform
