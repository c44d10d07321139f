#include "wisteriaflow/http/server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "connection.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Delay after a failed accept, for example because the process has no file descriptors left.
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

class server::implementation : public std::enable_shared_from_this<implementation> {
 public:
  implementation(asio::io_context& context, server_options options, handler on_request)
      : context_(context), acceptor_(context), drain_timer_(context),
        state_(std::make_shared<internal::server_state>())
  {
    state_->options = std::move(options);
    state_->on_request = std::move(on_request);
    listen();
  }

  void start()
  {
    asio::co_spawn(
        context_, [self = shared_from_this()] { return self->accept_connections(self); },
        asio::detached);
  }

  [[nodiscard]] socket_address address() const { return address_; }

  [[nodiscard]] std::size_t open_requests() const { return state_->open_requests; }

  [[nodiscard]] std::size_t connections() const { return state_->connections.size(); }

  [[nodiscard]] mono_time last_request_at() const { return state_->last_request_at; }

  [[nodiscard]] std::size_t busy_connections() const
  {
    const auto& all = state_->connections;
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [](const auto* connection) { return connection->is_busy(); }));
  }

  void disable_keep_alive() { state_->draining = true; }

  void stop_accepting(std::chrono::milliseconds idle_time)
  {
    if (!acceptor_.is_open()) {
      return;
    }
    state_->draining = true;
    accept_pending();
    error_code ec;
    acceptor_.close(ec);
    drain_timer_.expires_after(idle_time);
    drain_timer_.async_wait([state = state_](error_code ec) {
      if (!ec) {
        for_each_connection(*state, [](internal::connection& c) { c.close_if_idle(); });
      }
    });
  }

  void close()
  {
    state_->draining = true;
    error_code ec;
    acceptor_.close(ec);
    drain_timer_.cancel();
    for_each_connection(*state_, [](internal::connection& c) { c.close(); });
  }

 private:
  void listen()
  {
    try {
      const auto& requested = state_->options.address;
      const tcp::endpoint endpoint(asio::ip::make_address(requested.host), requested.port);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
      acceptor_.non_blocking(true);
      address_ = {.host = requested.host, .port = acceptor_.local_endpoint().port()};
    } catch (const boost::system::system_error& e) {
      throw http_error("cannot listen on " + to_string(state_->options.address) + ": " + e.what());
    }
  }

  // `self` keeps this object alive for as long as the coroutine runs.
  asio::awaitable<void> accept_connections([[maybe_unused]] std::shared_ptr<implementation> self)
  {
    while (acceptor_.is_open()) {
      tcp::socket socket(context_);
      error_code ec;
      co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
      if (!ec) {
        start_connection(std::move(socket));
        continue;
      }
      if (!acceptor_.is_open()) {
        break;
      }
      asio::steady_timer retry_timer(context_, accept_retry_delay);
      co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  // Accepts the connections that the kernel has already established: closing the listener would
  // reset them.
  void accept_pending()
  {
    error_code ec;
    while (!ec && acceptor_.is_open()) {
      tcp::socket socket(context_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        start_connection(std::move(socket));
      }
    }
  }

  void start_connection(tcp::socket socket)
  {
    if (state_->connections.size() >= state_->options.connection_limit) {
      return; // the destructor closes the socket
    }
    auto accepted = std::make_shared<internal::connection>(std::move(socket), state_);
    asio::co_spawn(
        context_, [accepted] { return accepted->run(); }, asio::detached);
  }

  // Iterates over a copy, because `apply` may remove connections from the set.
  template <typename function>
  static void for_each_connection(internal::server_state& state, function apply)
  {
    std::vector<std::shared_ptr<internal::connection>> snapshot;
    for (auto* open : state.connections) {
      snapshot.push_back(open->shared_from_this());
    }
    for (const auto& open : snapshot) {
      apply(*open);
    }
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  asio::steady_timer drain_timer_;
  std::shared_ptr<internal::server_state> state_;
  socket_address address_;
};

server::server(boost::asio::io_context& context, server_options options, handler on_request)
    : implementation_(
          std::make_shared<implementation>(context, std::move(options), std::move(on_request)))
{
  implementation_->start();
}

server::~server()
{
  implementation_->close();
}

socket_address server::address() const
{
  return implementation_->address();
}

std::size_t server::open_requests() const
{
  return implementation_->open_requests();
}

std::size_t server::connections() const
{
  return implementation_->connections();
}

mono_time server::last_request_at() const
{
  return implementation_->last_request_at();
}

std::size_t server::busy_connections() const
{
  return implementation_->busy_connections();
}

void server::disable_keep_alive()
{
  implementation_->disable_keep_alive();
}

void server::stop_accepting(std::chrono::milliseconds idle_time)
{
  implementation_->stop_accepting(idle_time);
}

void server::close()
{
  implementation_->close();
}

} // namespace wisteriaflow::http
