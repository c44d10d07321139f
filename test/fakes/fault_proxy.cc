#include "fakes/fault_proxy.h"

#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace wisteriaflow::fakes {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds delay{150};
constexpr std::size_t chunk_size = 16'384; // bytes

} // namespace

struct fault_proxy::connection {
  tcp::socket client;
  tcp::socket server;
  std::shared_ptr<network_fault> fault;
  bool has_dropped_bytes = false;

  // Returns whether data must be dropped: because of the present fault, or because earlier data of
  // this connection was dropped and TCP delivers no later data without it.
  bool drops(bool to_client)
  {
    const bool lost =
        *fault == network_fault::silent || (*fault == network_fault::answers_lost && to_client);
    has_dropped_bytes = has_dropped_bytes || lost;
    return has_dropped_bytes;
  }

  void close()
  {
    error_code ec;
    client.close(ec);
    server.close(ec);
  }

  void reset()
  {
    error_code ec;
    const asio::socket_base::linger reset_on_close(true, 0);
    client.set_option(reset_on_close, ec);
    server.set_option(reset_on_close, ec);
    close();
  }
};

fault_proxy::fault_proxy(asio::io_context& context, const std::string& host,
                         http::socket_address target)
    : context_(context), acceptor_(context, {asio::ip::make_address(host), 0}),
      address_(acceptor_.local_endpoint()),
      target_(asio::ip::make_address(target.host), target.port)
{
  asio::co_spawn(context_, accept(), asio::detached);
}

fault_proxy::~fault_proxy()
{
  reset_connections();
}

http::socket_address fault_proxy::address() const
{
  return {.host = address_.address().to_string(), .port = address_.port()};
}

void fault_proxy::listen(int backlog)
{
  queue_fillers_.clear();
  error_code ec;
  acceptor_.close(ec);
  acceptor_.open(address_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
  acceptor_.listen(backlog);
}

void fault_proxy::refuse_new_connections()
{
  queue_fillers_.clear();
  error_code ec;
  acceptor_.close(ec);
}

void fault_proxy::hang_new_connections()
{
  listen(0);
  // The queue of a listener holds one connection more than its backlog.
  constexpr int queue_length = 1;
  for (int i = 0; i < queue_length; ++i) {
    queue_fillers_.emplace_back(context_);
    queue_fillers_.back().connect(address_);
  }
}

void fault_proxy::close()
{
  refuse_new_connections();
  reset_connections();
}

void fault_proxy::reopen()
{
  listen(asio::socket_base::max_listen_connections);
  asio::co_spawn(context_, accept(), asio::detached);
}

void fault_proxy::reset_connections()
{
  for (const auto& each : connections_) {
    if (const auto c = each.lock()) {
      c->reset();
    }
  }
  connections_.clear();
}

asio::awaitable<void> fault_proxy::accept()
{
  for (;;) {
    error_code ec;
    auto client = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    tcp::socket server(context_);
    co_await server.async_connect(target_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      continue; // the client's connection is closed with its socket
    }
    const auto c = std::make_shared<connection>(
        connection{.client = std::move(client), .server = std::move(server), .fault = fault_});
    std::erase_if(connections_, [](const auto& each) { return each.expired(); });
    connections_.push_back(c);
    asio::co_spawn(context_, forward(c, false), asio::detached);
    asio::co_spawn(context_, forward(c, true), asio::detached);
  }
}

asio::awaitable<void> fault_proxy::forward(std::shared_ptr<connection> c, bool to_client)
{
  auto& from = to_client ? c->server : c->client;
  auto& to = to_client ? c->client : c->server;
  std::array<char, chunk_size> buf{};
  error_code ec;
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  asio::steady_timer timer(from.get_executor());
  for (;;) {
    const auto n = co_await from.async_read_some(asio::buffer(buf), token);
    if (ec) {
      break;
    }
    if (c->drops(to_client)) {
      continue;
    }
    if (*c->fault == network_fault::delayed) {
      timer.expires_after(delay);
      co_await timer.async_wait(token);
    }
    co_await asio::async_write(to, asio::buffer(buf.data(), n), token);
    if (ec) {
      break;
    }
  }
  // The end of a stream is dropped like data.
  if (!c->drops(to_client)) {
    c->close();
  }
}

} // namespace wisteriaflow::fakes
