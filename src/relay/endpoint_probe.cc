#include "relay/endpoint_probe.h"

#include <chrono>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "relay/async_sleep.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
using asio::ip::tcp;

// Wait before the probe: a process that ends closes its sockets one by one, and the listening
// socket is not always the first.
constexpr milliseconds listener_close_delay{5};
// Opening a connection takes 1 to 2 ms.
constexpr milliseconds connect_timeout{100};

} // namespace

asio::awaitable<probe_verdict> endpoint_probe::probe(http::socket_address address)
{
  if (const auto it = pending_.find(address); it != pending_.end()) {
    const auto earlier = co_await await_verdict(it->second);
    if (earlier != probe_verdict::listens) {
      co_return earlier;
    }
    // The process may have ended since that connection was accepted.
    if (const auto later = pending_.find(address); later != pending_.end()) {
      co_return co_await await_verdict(later->second);
    }
  }
  co_return co_await probe_anew(std::move(address));
}

asio::awaitable<probe_verdict> endpoint_probe::await_verdict(std::shared_ptr<pending_probe> running)
{
  boost::system::error_code ec;
  co_await running->finished.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  co_return running->verdict.value_or(probe_verdict::unknown);
}

asio::awaitable<probe_verdict> endpoint_probe::probe_anew(http::socket_address address)
{
  const auto own = std::make_shared<pending_probe>(context_);
  own->finished.expires_at(asio::steady_timer::time_point::max());
  pending_.emplace(address, own);
  own->verdict = co_await connect(address);
  pending_.erase(address);
  own->finished.cancel();
  co_return *own->verdict;
}

asio::awaitable<probe_verdict> endpoint_probe::connect(http::socket_address address)
{
  co_await async_sleep(listener_close_delay);
  boost::system::error_code ec;
  const auto host = asio::ip::make_address(address.host, ec);
  if (ec) {
    co_return probe_verdict::unknown;
  }
  boost::beast::tcp_stream stream(context_);
  stream.expires_after(connect_timeout);
  const tcp::endpoint to(host, address.port);
  co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
  if (ec == asio::error::connection_refused) {
    co_return probe_verdict::ended;
  }
  co_return ec ? probe_verdict::unknown : probe_verdict::listens;
}

} // namespace wisteriaflow::relay
