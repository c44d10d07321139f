#include "program.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace wisteriaflow::fakes {

void run_program(boost::asio::io_context& context, const http::socket_address& address)
{
  std::cout << "listening " << http::to_string(address) << std::endl;
  boost::asio::signal_set ending(context, SIGTERM, SIGINT);
  ending.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
}

} // namespace wisteriaflow::fakes
