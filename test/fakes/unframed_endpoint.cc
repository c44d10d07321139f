#include "fakes/unframed_endpoint.h"

#include <utility>

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "fakes/free_addresses.h"

namespace wisteriaflow::fakes {

namespace asio = boost::asio;
using asio::ip::tcp;

unframed_endpoint::unframed_endpoint(asio::io_context& context, std::string id)
    : id_(std::move(id)),
      acceptor_(context, tcp::endpoint(asio::ip::make_address(endpoint_host()), 0))
{
  asio::co_spawn(context, accept_connections(), asio::detached);
}

http::socket_address unframed_endpoint::address() const
{
  const auto own = acceptor_.local_endpoint();
  return {.host = own.address().to_string(), .port = own.port()};
}

asio::awaitable<void> unframed_endpoint::accept_connections()
{
  while (acceptor_.is_open()) {
    boost::system::error_code ec;
    auto connection =
        co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      asio::co_spawn(acceptor_.get_executor(), serve(std::move(connection)), asio::detached);
    }
  }
}

std::string unframed_endpoint::head_for(std::string_view request_id) const
{
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + std::string(request_id) +
         "\r\nResponse-Seal: signature-" + id_ + "\r\nContent-Type: " + content_type +
         (leaves ? "\r\nServer-Leaving: 1" : "") + "\r\n\r\n";
}

asio::awaitable<void> unframed_endpoint::serve(tcp::socket connection)
{
  boost::beast::flat_buffer buffer;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser;
  boost::system::error_code ec;
  co_await boost::beast::http::async_read_header(connection, buffer, parser,
                                                 asio::redirect_error(asio::use_awaitable, ec));
  if (!ec && !answers_early) {
    co_await boost::beast::http::async_read(connection, buffer, parser,
                                            asio::redirect_error(asio::use_awaitable, ec));
  }
  if (ec) {
    co_return; // a connection that only tested whether this endpoint accepts it
  }
  ++received;
  const std::string id(std::string_view(parser.get()["Request-Id"]));
  const auto answer = head_for(id) + boost::algorithm::replace_all_copy(body, "$", id);
  co_await asio::async_write(connection, asio::buffer(answer),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ending == unframed_ending::process_ends) {
    acceptor_.close(ec);
  } else if (ending == unframed_ending::resets) {
    connection.set_option(asio::socket_base::linger(true, 0), ec);
  }
  connection.close(ec);
}

} // namespace wisteriaflow::fakes
