#include "wisteriaflow/daemon/endpoint_side.h"

#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::daemon {

endpoint_side::endpoint_side(std::shared_ptr<event_ring> core)
    : thread_(std::move(core),
              [this](core::endpoint_action a) {
                std::visit([this](const auto& one) { take(one); }, a);
              }),
      client_(thread_.context())
{
}

// Says what became of an exchange, unless the core has cancelled it meanwhile.
void endpoint_side::report(core::exchange_number number, core::event e)
{
  if (running_.contains(number)) {
    thread_.post_event(std::move(e));
  }
}

void endpoint_side::take(const core::start_exchange& a)
{
  const auto handle = std::make_shared<http::exchange>();
  running_.emplace(a.exchange, handle);
  boost::asio::co_spawn(thread_.context(), run(a, handle), boost::asio::detached);
}

void endpoint_side::take(const core::cancel_exchange& a)
{
  const auto it = running_.find(a.exchange);
  if (it == running_.end()) {
    return;
  }
  const auto handle = it->second;
  running_.erase(it);
  handle->cancel();
}

void endpoint_side::take(const core::poll_load& a)
{
  boost::asio::co_spawn(thread_.context(), poll(a), boost::asio::detached);
}

void endpoint_side::take(const core::poll_cache_events& a)
{
  boost::asio::co_spawn(thread_.context(), poll(a), boost::asio::detached);
}

void endpoint_side::take(const core::close_idle_connections& a)
{
  client_.forget(a.address);
}

boost::asio::awaitable<void> endpoint_side::run(core::start_exchange a,
                                                std::shared_ptr<http::exchange> handle)
{
  const auto number = a.exchange;
  auto failure = core::exchange_failure::broken;
  bool failed = true;
  try {
    if (a.streamed) {
      co_await run_streamed(std::move(a), std::move(handle));
    } else {
      co_await run_whole(std::move(a));
    }
    failed = false;
  } catch (const http::connect_error&) {
    failure = core::exchange_failure::not_sent;
  } catch (const http::exchange_timeout_error&) {
    failure = core::exchange_failure::timed_out;
  } catch (const http::http_error&) {
    failure = core::exchange_failure::broken;
  }
  if (failed) {
    report(number, core::exchange_failed{.exchange = number, .failure = failure});
  } else {
    report(number, core::exchange_ended{.exchange = number});
  }
  running_.erase(number);
}

boost::asio::awaitable<void> endpoint_side::run_whole(core::start_exchange a)
{
  const auto number = a.exchange;
  auto whole = co_await client_.call(a.to, std::move(a.message), a.deadline);
  auto body = std::move(whole.body);
  whole.body.clear();
  report(number, core::exchange_head{.exchange = number, .head = std::move(whole)});
  if (!body.empty()) {
    report(number, core::exchange_bytes{.exchange = number, .bytes = std::move(body)});
  }
}

boost::asio::awaitable<void> endpoint_side::run_streamed(core::start_exchange a,
                                                         std::shared_ptr<http::exchange> handle)
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

boost::asio::awaitable<void> endpoint_side::poll(core::poll_load a)
{
  core::load_reported result{.endpoint = a.endpoint};
  result.reached = co_await fetch(a.to, "/load", a.deadline, result.report);
  thread_.post_event(std::move(result));
}

boost::asio::awaitable<void> endpoint_side::poll(core::poll_cache_events a)
{
  core::cache_events_reported result{.endpoint = a.endpoint};
  auto target = "/cache-events?after=" + std::to_string(a.after);
  const bool fetched = co_await fetch(a.to, std::move(target), a.deadline, result.report);
  if (fetched) {
    thread_.post_event(std::move(result));
  }
}

// Gets a JSON document; false if there is none.
boost::asio::awaitable<bool> endpoint_side::fetch(http::socket_address from, std::string target,
                                                  mono_time deadline, boost::json::value& out)
{
  try {
    http::request message;
    message.target = std::move(target);
    const auto whole = co_await client_.call(from, std::move(message), deadline);
    boost::json::error_code ec;
    out = boost::json::parse(whole.body, ec);
    co_return !ec && whole.status == 200;
  } catch (const http::http_error&) {
    co_return false;
  }
}

} // namespace wisteriaflow::daemon
