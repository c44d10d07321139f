// A child process of a test, with its output in a file.
//
//   process p({"/usr/bin/env", "true"}, "/tmp/true.log");
//   p.await_exit();

#ifndef WISTERIAFLOW_TEST_SYSTEM_PROCESS_H_
#define WISTERIAFLOW_TEST_SYSTEM_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriaflow::system_tests {

// The destructor kills and reaps a process that still runs.
class process {
 public:
  // Starts the program `arguments[0]` with the arguments that follow; standard output and standard
  // error go to the file `log`. Throws std::runtime_error if it cannot be started.
  process(const std::vector<std::string>& arguments, std::string log);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Waits for a line of output that starts with `start` and returns it. Throws std::runtime_error
  // with the output so far if there is no such line within half a minute, also if the program has
  // ended.
  [[nodiscard]] std::string await_line(const std::string& start) const;

  // Returns the process id; 0 after the process has been reaped.
  [[nodiscard]] pid_t id() const { return pid_; }

  // Sends signal `number`; does nothing after the process has been reaped.
  void signal(int number) const;

  // Sends SIGKILL and reaps the process.
  void kill();

  // The number of the signal that has ended the process, if none of the functions above has sent
  // it; nothing while the process runs.
  [[nodiscard]] std::optional<int> unexpected_signal();

  // Waits up to half a minute for the process to exit by itself; returns whether its exit status is
  // 0.
  bool await_exit();

  // Returns whether the process exited with status 0, without waiting; std::nullopt while it runs
  // and after kill().
  [[nodiscard]] std::optional<bool> exited_cleanly();

  // Returns the output so far.
  [[nodiscard]] std::string output() const;

 private:
  void on_reaped(int status);

  std::string log_;
  pid_t pid_ = 0; // 0: reaped
  std::optional<bool> exited_cleanly_;
  mutable std::set<int> sent_signals_;
  std::optional<int> unexpected_signal_;
};

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_PROCESS_H_
