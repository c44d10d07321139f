// What the fakes' programs share: flags, the line that tells the port, and the end on SIGTERM.

#ifndef WISTERIAFLOW_TEST_FAKES_PROGRAM_H_
#define WISTERIAFLOW_TEST_FAKES_PROGRAM_H_

#include <boost/asio/io_context.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::fakes {

// Prints "listening ADDRESS" and runs `context` until SIGTERM or SIGINT.
void run_program(boost::asio::io_context& context, const http::socket_address& address);

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_PROGRAM_H_
