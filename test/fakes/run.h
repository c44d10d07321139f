// Helpers for tests that run coroutines to completion on the test's thread.

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

// Returns a deadline, 60 s from now, that passes only if the code under test is at fault.
inline mono_time far_deadline()
{
  return std::chrono::steady_clock::now() + std::chrono::seconds(60);
}

// Runs `context` until `condition` holds, which is checked after each handler.
template <typename predicate> void run_until(boost::asio::io_context& context, predicate condition)
{
  context.restart();
  while (!condition()) {
    context.run_one();
  }
}

// Runs `context` until `task` has completed; rethrows its exception.
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

// Sends one request and returns its response. Throws what http::client::call() throws.
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
