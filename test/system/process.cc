#include "system/process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <spawn.h>

#include "system/eventually.h"

namespace wisteriaflow::system_tests {
namespace {

constexpr mode_t log_mode = 0600;

} // namespace

process::process(const std::vector<std::string>& arguments, std::string log) : log_(std::move(log))
{
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, log_mode);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // An inherited listening socket would go on listening in the child after this process closes it.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::vector<char*> argv;
  for (const auto& each : arguments) {
    argv.push_back(const_cast<char*>(each.c_str())); // NOLINT: posix_spawn takes no const
  }
  argv.push_back(nullptr);
  const int ec = posix_spawn(&pid_, argv[0], &files, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (ec != 0) {
    pid_ = 0;
    throw std::runtime_error("cannot start " + arguments.front());
  }
}

process::~process()
{
  kill();
}

std::string process::output() const
{
  std::ostringstream out;
  out << std::ifstream(log_).rdbuf();
  return out.str();
}

std::string process::await_line(const std::string& start) const
{
  std::string found;
  const bool has_line = eventually([&] {
    std::ifstream in(log_);
    std::string line;
    while (std::getline(in, line)) {
      if (line.starts_with(start) && !in.eof()) {
        found = line;
        return true;
      }
    }
    return false;
  });
  if (!has_line) {
    throw std::runtime_error("no line '" + start + "' in: " + output());
  }
  return found;
}

void process::signal(int number) const
{
  if (pid_ != 0) {
    sent_signals_.insert(number);
    ::kill(pid_, number);
  }
}

void process::kill()
{
  signal(SIGKILL);
  int status = 0;
  if (pid_ != 0 && waitpid(pid_, &status, 0) == pid_) {
    on_reaped(status);
  }
}

void process::on_reaped(int status)
{
  pid_ = 0;
  if (WIFSIGNALED(status) && !sent_signals_.contains(WTERMSIG(status))) {
    unexpected_signal_ = WTERMSIG(status);
  }
}

std::optional<int> process::unexpected_signal()
{
  static_cast<void>(exited_cleanly());
  return unexpected_signal_;
}

std::optional<bool> process::exited_cleanly()
{
  int status = 0;
  if (pid_ != 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    on_reaped(status);
    exited_cleanly_ = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  return exited_cleanly_;
}

bool process::await_exit()
{
  return eventually([this] { return exited_cleanly().has_value(); }) && *exited_cleanly_;
}

} // namespace wisteriaflow::system_tests
