// A program that runs a fake_plain_service.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "fakes/fake_plain_service.h"
#include "fakes/program.h"

ABSL_FLAG(std::uint16_t, port, 0, "port to listen on; 0 lets the kernel choose");

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context context;
  const wisteriaflow::fakes::fake_plain_service fake(context, absl::GetFlag(FLAGS_port));
  wisteriaflow::fakes::run_program(context, fake.address());
}
