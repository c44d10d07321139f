#include "wisteriaflow/daemon/log_writer.h"

namespace wisteriaflow::daemon {
namespace {

constexpr std::size_t log_ring_capacity = 4'096; // lines

} // namespace

log_writer::log_writer() : ring_(log_ring_capacity), thread_([this] { run(); }) {}

log_writer::~log_writer()
{
  ring_.close();
  thread_.join();
}

void log_writer::run()
{
  for (bool open = true; open;) {
    open = !ring_.closed();
    for (const auto& line : ring_.wait_pop_all(mono_time::max())) {
      write_log(line);
    }
  }
}

} // namespace wisteriaflow::daemon
