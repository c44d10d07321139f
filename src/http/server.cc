#include "wisteriaflow/http/server.h"

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

// Pause after a failed accept, as when the process has no file descriptors left.
constexpr std::chrono::milliseconds accept_pause{50};

// How long an idle connection is kept once the server drains. A request that was under way when
// the draining began is still answered.
constexpr std::chrono::milliseconds drain_idle_time{1000};

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

  void announce_close() { state_->draining = true; }

  void stop_accepting()
  {
    if (!acceptor_.is_open()) {
      return;
    }
    state_->draining = true;
    accept_waiting();
    error_code ec;
    acceptor_.close(ec);
    drain_timer_.expires_after(drain_idle_time);
    drain_timer_.async_wait([state = state_](error_code stopped) {
      if (!stopped) {
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
      const auto& wanted = state_->options.address;
      const tcp::endpoint endpoint(asio::ip::make_address(wanted.host), wanted.port);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
      acceptor_.non_blocking(true);
      address_ = {.host = wanted.host, .port = acceptor_.local_endpoint().port()};
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
        admit(std::move(socket));
        continue;
      }
      if (!acceptor_.is_open()) {
        break;
      }
      asio::steady_timer pause(context_, accept_pause);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  // Takes in what the kernel has accepted already: closing the listener would reset it.
  void accept_waiting()
  {
    error_code ec;
    while (!ec && acceptor_.is_open()) {
      tcp::socket socket(context_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        admit(std::move(socket));
      }
    }
  }

  void admit(tcp::socket socket)
  {
    if (state_->connections.size() >= state_->options.connection_limit) {
      return; // the socket closes as it goes out of scope
    }
    auto accepted = std::make_shared<internal::connection>(std::move(socket), state_);
    asio::co_spawn(
        context_, [accepted] { return accepted->run(); }, asio::detached);
  }

  // Copies the list first: a connection may leave it meanwhile.
  template <typename action>
  static void for_each_connection(internal::server_state& state, action act)
  {
    std::vector<std::shared_ptr<internal::connection>> all;
    for (auto* each : state.connections) {
      all.push_back(each->shared_from_this());
    }
    for (const auto& each : all) {
      act(*each);
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

void server::announce_close()
{
  implementation_->announce_close();
}

void server::stop_accepting()
{
  implementation_->stop_accepting();
}

void server::close()
{
  implementation_->close();
}

} // namespace wisteriaflow::http
