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

std::string_view to_string(probe_verdict verdict)
{
  switch (verdict) {
  case probe_verdict::listens:
    return "listens";
  case probe_verdict::ended:
    return "ended";
  case probe_verdict::unknown:
    return "unknown";
  }
  return "unknown";
}

asio::awaitable<probe_verdict> endpoint_probe::probe(http::socket_address address)
{
  const auto it = pending_.find(address);
  if (it != pending_.end()) {
    const auto running = it->second;
    boost::system::error_code ec;
    co_await running->finished.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return running->verdict.value_or(probe_verdict::unknown);
  }
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
