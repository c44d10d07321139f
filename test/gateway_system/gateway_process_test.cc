// The gateway daemon as a separate process: its output, signals and exit code.

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "fakes/run.h"
#include "gateway_system/gateway_fleet.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

using namespace std::chrono_literals;

// A full pipe that nobody reads, to be used as the standard output of a process.
class blocked_output {
 public:
  blocked_output()
  {
    EXPECT_EQ(pipe(ends_.data()), 0);
    fcntl(ends_[1], F_SETFL, O_NONBLOCK);
    const std::array<char, 4'096> page{};
    while (write(ends_[1], page.data(), page.size()) > 0) {
    }
    fcntl(ends_[1], F_SETFL, 0);
  }
  ~blocked_output()
  {
    close(ends_[0]);
    close(ends_[1]);
  }
  blocked_output(const blocked_output&) = delete;
  blocked_output& operator=(const blocked_output&) = delete;

  // The path under which another process can open the pipe.
  [[nodiscard]] std::string path() const
  {
    return "/proc/" + std::to_string(getpid()) + "/fd/" + std::to_string(ends_[1]);
  }

 private:
  std::array<int, 2> ends_{};
};

class GatewayProcessTest : public testing::Test {
 protected:
  void start(const std::string& log = "")
  {
    fleet_.add_endpoint();
    daemon_ = &fleet_.start_daemon({.log = log});
    const auto deadline = std::chrono::steady_clock::now() + 60s;
    while (status_of(daemon_->readiness, {.target = "/ready"}) != 200) {
      ASSERT_LT(std::chrono::steady_clock::now(), deadline) << "the daemon does not become ready";
      context_.restart();
      context_.run_for(20ms);
    }
  }

  // Returns the status of the answer; 0 if there is none.
  int status_of(const http::socket_address& to, const http::request& message)
  {
    try {
      return fakes::call(context_, client_, to, message).status;
    } catch (const http::http_error&) {
      return 0;
    }
  }

  int call(const std::string& path)
  {
    return status_of(daemon_->callers, {.method = "GET",
                                        .target = path,
                                        .fields = {{"Host", gateway_fleet::host},
                                                   {"Request-Id", "r" + std::to_string(++last_)},
                                                   {"Api-Key", "k1"},
                                                   {"Deadline-Ms", "3000"}}});
  }

  // Sends SIGTERM and returns whether the daemon then exits with status 0.
  bool ends_cleanly_on_sigterm()
  {
    daemon_->running->signal(SIGTERM);
    const auto deadline = std::chrono::steady_clock::now() + 60s;
    while (!daemon_->running->exited_cleanly() && std::chrono::steady_clock::now() < deadline) {
      context_.restart();
      context_.run_for(20ms);
    }
    return daemon_->running->exited_cleanly().value_or(false);
  }

  boost::asio::io_context context_;
  http::client client_{context_};
  gateway_fleet fleet_{context_};
  gateway_process* daemon_ = nullptr;
  int last_ = 0;
};

TEST_F(GatewayProcessTest, ServesCallsAndExitsWithZeroAfterSigterm)
{
  start();
  EXPECT_EQ(call("/safe/1"), 200);
  EXPECT_TRUE(ends_cleanly_on_sigterm());
}

TEST_F(GatewayProcessTest, AnswersEveryRequestWhileNobodyReadsItsLog)
{
  const blocked_output output;
  start(output.path());
  // This makes more lines than the log's ring buffer holds.
  for (int i = 0; i < 5'000; ++i) {
    ASSERT_EQ(call("/safe/1"), 200) << i;
  }
}

TEST_F(GatewayProcessTest, ExitsWithZeroWhileNobodyReadsItsLog)
{
  const blocked_output output;
  start(output.path());
  EXPECT_TRUE(ends_cleanly_on_sigterm());
}

} // namespace
} // namespace wisteriaflow::gateway_system_tests
