#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

#include "wisteriaflow/daemon/log_writer.h"

namespace wisteriaflow::daemon {
namespace {

// Far longer than any step takes; reached only by a step that hangs.
constexpr std::chrono::seconds hang_timeout{20};
constexpr int lines_over_capacity = 20'000;

// Redirects standard output to a pipe that is read only in read_until().
class redirected_output {
 public:
  redirected_output() : saved_(dup(STDOUT_FILENO))
  {
    std::fflush(stdout);
    EXPECT_EQ(pipe(ends_.data()), 0);
    dup2(ends_[1], STDOUT_FILENO);
  }
  ~redirected_output()
  {
    std::fflush(stdout);
    dup2(saved_, STDOUT_FILENO);
    for (const int fd : {saved_, ends_[0], ends_[1]}) {
      close(fd);
    }
  }
  redirected_output(const redirected_output&) = delete;
  redirected_output& operator=(const redirected_output&) = delete;

  // Reads the output until it contains `wanted`; returns false after hang_timeout.
  bool read_until(const std::string& wanted)
  {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    const auto deadline = std::chrono::steady_clock::now() + hang_timeout;
    std::string seen;
    std::array<char, 65'536> buf{};
    while (std::chrono::steady_clock::now() < deadline) {
      const auto n = read(ends_[0], buf.data(), buf.size());
      if (n > 0) {
        seen.append(buf.data(), static_cast<std::size_t>(n));
      }
      if (seen.find(wanted) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }

 private:
  std::array<int, 2> ends_{};
  int saved_;
};

class LogWriterTest : public testing::Test {
 protected:
  LogWriterTest() { configure_logging("info"); }

  void write_lines(int n)
  {
    for (int i = 0; i < n; ++i) {
      writer_->write({.message = "line", .fields = {{"number", std::to_string(i)}}});
    }
  }

  // Destroys the writer on a separate thread; returns false if that takes longer than hang_timeout.
  bool destroy_writer()
  {
    std::promise<void> done;
    auto ended = done.get_future();
    std::thread([writer = std::move(writer_), done = std::move(done)]() mutable {
      writer.reset();
      done.set_value();
    }).detach();
    return ended.wait_for(hang_timeout) == std::future_status::ready;
  }

  redirected_output output_; // outlives the writer
  std::unique_ptr<log_writer> writer_ = std::make_unique<log_writer>();
};

TEST_F(LogWriterTest, WritesALineWithItsFields)
{
  write_lines(1);
  EXPECT_TRUE(output_.read_until("number"));
}

TEST_F(LogWriterTest, WritesQueuedLinesBeforeShutdown)
{
  write_lines(2);
  EXPECT_TRUE(destroy_writer());
  EXPECT_TRUE(output_.read_until("\"1\""));
}

TEST_F(LogWriterTest, NeverBlocksWhileNobodyReadsTheOutput)
{
  auto written = std::async(std::launch::async, [this] { write_lines(lines_over_capacity); });
  EXPECT_EQ(written.wait_for(hang_timeout), std::future_status::ready);
}

TEST_F(LogWriterTest, CountsTheLinesThatItDropped)
{
  write_lines(lines_over_capacity);
  EXPECT_GT(writer_->dropped(), 0U);
}

TEST_F(LogWriterTest, ReportsDroppedLinesOnceTheOutputIsReadAgain)
{
  write_lines(lines_over_capacity);
  EXPECT_TRUE(output_.read_until("log lines dropped"));
}

TEST_F(LogWriterTest, ShutsDownWhileNobodyReadsTheOutput)
{
  write_lines(lines_over_capacity);
  EXPECT_TRUE(destroy_writer());
}

} // namespace
} // namespace wisteriaflow::daemon
