// Suspends a coroutine for a time.
//
//   co_await async_sleep(200ms);

#ifndef WISTERIAFLOW_SRC_RELAY_ASYNC_SLEEP_H_
#define WISTERIAFLOW_SRC_RELAY_ASYNC_SLEEP_H_

#include <chrono>

#include <boost/asio/awaitable.hpp>

namespace wisteriaflow::relay {

// Resumes the awaiting coroutine after `time`, on its own executor.
boost::asio::awaitable<void> async_sleep(std::chrono::milliseconds time);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ASYNC_SLEEP_H_
