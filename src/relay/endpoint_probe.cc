#include "relay/endpoint_probe.h"

#include <chrono>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "relay/pause.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
using asio::ip::tcp;

// A process that ends closes its sockets one after the other, the listener not always first.
constexpr milliseconds settle_time{5};
// Opening a connection takes a millisecond or two.
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

asio::awaitable<probe_verdict> endpoint_probe::ask(http::socket_address address)
{
  const auto it = open_.find(address);
  if (it != open_.end()) {
    const auto shared = it->second;
    boost::system::error_code ec;
    co_await shared->done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return shared->verdict.value_or(probe_verdict::unknown);
  }
  const auto mine = std::make_shared<question>(context_);
  mine->done.expires_at(asio::steady_timer::time_point::max());
  open_.emplace(address, mine);
  mine->verdict = co_await connect(address);
  open_.erase(address);
  mine->done.cancel();
  co_return *mine->verdict;
}

asio::awaitable<probe_verdict> endpoint_probe::connect(http::socket_address address)
{
  co_await pause(settle_time);
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
