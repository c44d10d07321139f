// The main loop of the fakes' programs: prints the address and runs until SIGTERM.

#ifndef WISTERIAFLOW_TEST_FAKES_PROGRAM_H_
#define WISTERIAFLOW_TEST_FAKES_PROGRAM_H_

#include <boost/asio/io_context.hpp>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::fakes {

// Prints the line "listening ADDRESS", which starters wait for and which gives them the port, and
// runs `context` until SIGTERM or SIGINT.
void run_program(boost::asio::io_context& context, const http::socket_address& address);

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_PROGRAM_H_
