#include "fakes/free_addresses.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wisteriaflow::fakes {

using boost::asio::ip::tcp;

std::string process_loopback_host(unsigned number)
{
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid / 256 % 254) + "." + std::to_string(pid % 256) + "." +
         std::to_string(1 + number % 254);
}

std::string endpoint_host()
{
  constexpr unsigned number = 250; // servers of a process are counted from 0
  return process_loopback_host(number);
}

std::vector<http::socket_address> free_addresses(const std::string& host, std::size_t count)
{
  boost::asio::io_context context;
  std::vector<tcp::acceptor> bound; // all stay bound until the end, so that the ports differ
  std::vector<http::socket_address> out;
  for (std::size_t i = 0; i < count; ++i) {
    bound.emplace_back(context, tcp::endpoint(boost::asio::ip::make_address(host), 0));
    out.push_back({.host = host, .port = bound.back().local_endpoint().port()});
  }
  return out;
}

} // namespace wisteriaflow::fakes
