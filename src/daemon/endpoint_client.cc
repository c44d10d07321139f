#include "wisteriaflow/daemon/endpoint_client.h"

#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::daemon {

endpoint_client::endpoint_client(std::shared_ptr<event_ring> core)
    : thread_(std::move(core),
              [this](core::endpoint_action a) {
                std::visit([this](const auto& one) { handle_action(one); }, a);
              }),
      client_(thread_.context())
{
}

// Sends an event of an exchange to the core, unless the core has cancelled the exchange.
void endpoint_client::report(core::exchange_number number, core::event e)
{
  if (running_exchanges_.contains(number)) {
    thread_.post_event(std::move(e));
  }
}

void endpoint_client::handle_action(const core::start_exchange& a)
{
  const auto handle = std::make_shared<http::cancel_handle>();
  running_exchanges_.emplace(a.exchange, handle);
  boost::asio::co_spawn(thread_.context(), run(a, handle), boost::asio::detached);
}

void endpoint_client::handle_action(const core::cancel_exchange& a)
{
  const auto it = running_exchanges_.find(a.exchange);
  if (it == running_exchanges_.end()) {
    return;
  }
  const auto handle = it->second;
  running_exchanges_.erase(it);
  handle->cancel();
}

void endpoint_client::handle_action(const core::poll_load& a)
{
  boost::asio::co_spawn(thread_.context(), poll(a), boost::asio::detached);
}

void endpoint_client::handle_action(const core::poll_cache_events& a)
{
  boost::asio::co_spawn(thread_.context(), poll(a), boost::asio::detached);
}

void endpoint_client::handle_action(const core::close_idle_connections& a)
{
  client_.close_idle_connections(a.address);
}

boost::asio::awaitable<void> endpoint_client::run(core::start_exchange a,
                                                  std::shared_ptr<http::cancel_handle> handle)
{
  const auto number = a.exchange;
  auto failure = core::exchange_failure::interrupted;
  bool failed = true;
  try {
    if (a.streamed) {
      co_await run_streamed(std::move(a), std::move(handle));
    } else {
      co_await run_unary(std::move(a));
    }
    failed = false;
  } catch (const http::connect_error&) {
    failure = core::exchange_failure::not_sent;
  } catch (const http::exchange_timeout_error&) {
    failure = core::exchange_failure::timed_out;
  } catch (const http::http_error&) {
    failure = core::exchange_failure::interrupted;
  }
  if (failed) {
    report(number, core::exchange_failed{.exchange = number, .failure = failure});
  } else {
    report(number, core::exchange_ended{.exchange = number});
  }
  running_exchanges_.erase(number);
}

boost::asio::awaitable<void> endpoint_client::run_unary(core::start_exchange a)
{
  const auto number = a.exchange;
  auto response = co_await client_.call(a.to, std::move(a.message), a.deadline);
  auto body = std::move(response.body);
  response.body.clear();
  report(number, core::exchange_head{.exchange = number, .head = std::move(response)});
  if (!body.empty()) {
    report(number, core::exchange_bytes{.exchange = number, .bytes = std::move(body)});
  }
}

boost::asio::awaitable<void>
endpoint_client::run_streamed(core::start_exchange a, std::shared_ptr<http::cancel_handle> handle)
{
  const auto number = a.exchange;
  http::stream_observer observer;
  observer.on_head = [this, number](const http::response& head) {
    report(number, core::exchange_head{.exchange = number, .head = head});
  };
  observer.on_bytes = [this, number](std::string_view bytes) {
    report(number, core::exchange_bytes{.exchange = number, .bytes = std::string(bytes)});
  };
  co_await client_.stream(a.to, std::move(a.message), a.deadline, std::move(observer),
                          handle.get());
}

boost::asio::awaitable<void> endpoint_client::poll(core::poll_load a)
{
  core::load_reported result{.endpoint = a.endpoint};
  result.reached = co_await fetch_json(a.to, "/load", a.deadline, result.report);
  thread_.post_event(std::move(result));
}

boost::asio::awaitable<void> endpoint_client::poll(core::poll_cache_events a)
{
  core::cache_events_reported result{.endpoint = a.endpoint};
  auto target = "/cache-events?after=" + std::to_string(a.after);
  const bool fetched = co_await fetch_json(a.to, std::move(target), a.deadline, result.report);
  if (fetched) {
    thread_.post_event(std::move(result));
  }
}

// Fetches a JSON document into `out`. Returns false if the call failed, the status was not 200, or
// the body was not JSON.
boost::asio::awaitable<bool> endpoint_client::fetch_json(http::socket_address from,
                                                         std::string target, mono_time deadline,
                                                         boost::json::value& out)
{
  try {
    http::request message;
    message.target = std::move(target);
    const auto response = co_await client_.call(from, std::move(message), deadline);
    boost::json::error_code ec;
    out = boost::json::parse(response.body, ec);
    co_return !ec && response.status == 200;
  } catch (const http::http_error&) {
    co_return false;
  }
}

} // namespace wisteriaflow::daemon
