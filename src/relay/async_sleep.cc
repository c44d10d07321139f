#include "relay/async_sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriaflow::relay {

namespace asio = boost::asio;

asio::awaitable<void> async_sleep(std::chrono::milliseconds time)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace wisteriaflow::relay
