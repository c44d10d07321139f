// A child process of a test: a program started with its output in a file, signalled and reaped.

#ifndef WISTERIAFLOW_TEST_SYSTEM_PROCESS_H_
#define WISTERIAFLOW_TEST_SYSTEM_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace wisteriaflow::system_tests {

// Killed and reaped at the latest when destroyed.
class process {
 public:
  // Starts `arguments` (the program first); both its outputs go to the file `log`. Throws
  // std::runtime_error if it cannot be started.
  process(const std::vector<std::string>& arguments, std::string log);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Waits for a line of output that begins with `start` and returns it. Throws std::runtime_error,
  // with the output so far, if the program ends before or takes over half a minute.
  [[nodiscard]] std::string await_line(const std::string& start) const;

  // The process id; 0 once it has been reaped.
  [[nodiscard]] pid_t id() const { return pid_; }

  // Sends a signal; nothing if the process has been reaped.
  void signal(int number) const;

  // Sends SIGKILL and reaps.
  void kill();

  // Waits up to half a minute for the process to end by itself; returns whether it ended with 0.
  bool await_end();

  // Whether it ended with 0; nothing while it runs. Does not wait.
  [[nodiscard]] std::optional<bool> ended();

  // What it has written so far.
  [[nodiscard]] std::string output() const;

 private:
  std::string log_;
  pid_t pid_ = 0; // 0: reaped
  std::optional<bool> ended_;
};

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_PROCESS_H_
