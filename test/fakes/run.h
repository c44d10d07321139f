// Runs coroutines to their end, for tests.

#ifndef WISTERIAFLOW_TEST_FAKES_RUN_H_
#define WISTERIAFLOW_TEST_FAKES_RUN_H_

#include <chrono>
#include <exception>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::fakes {

// A deadline far enough off that only a fault reaches it.
inline mono_time far_deadline()
{
  return std::chrono::steady_clock::now() + std::chrono::seconds(60);
}

// Runs `context` until `condition` holds.
template <typename predicate> void run_until(boost::asio::io_context& context, predicate condition)
{
  context.restart();
  while (!condition()) {
    context.run_one();
  }
}

// Runs `context` until `task` has ended, and throws what it threw.
inline void run(boost::asio::io_context& context, boost::asio::awaitable<void> task)
{
  bool done = false;
  std::exception_ptr failure;
  boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr e) {
    failure = e;
    done = true;
  });
  run_until(context, [&] { return done; });
  if (failure) {
    std::rethrow_exception(failure);
  }
}

// Sends one request and returns its response.
inline http::response call(boost::asio::io_context& context, http::client& client,
                           const http::socket_address& to, http::request message)
{
  http::response out;
  auto task = [&]() -> boost::asio::awaitable<void> {
    out = co_await client.call(to, message, far_deadline());
  };
  run(context, task());
  return out;
}

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_RUN_H_
