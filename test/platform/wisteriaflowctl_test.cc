// Runs the wisteriaflowctl binary and checks its exit codes and output streams.

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "platform/operator_fixture.h"

namespace wisteriaflow::platform {
namespace {

struct program_result {
  int exit_code = -1;
  std::string out;
};

// Runs the tool in a shell, with `input` on standard input and `redirection` of its outputs.
program_result run_tool(const std::string& arguments, const std::string& input = "",
                        const std::string& redirection = "2>/dev/null")
{
  const auto line = "printf '%s' '" + input + "' | " + std::string(WISTERIAFLOW_BINARY_DIR) +
                    "/wisteriaflowctl " + arguments + " " + redirection;
  program_result ended;
  FILE* const pipe = popen(line.c_str(), "r");
  std::array<char, 4096> buf{};
  while (const auto n = std::fread(buf.data(), 1, buf.size(), pipe)) {
    ended.out.append(buf.data(), n);
  }
  const int status = pclose(pipe);
  ended.exit_code = WEXITSTATUS(status);
  return ended;
}

// The fake object API runs on a separate thread while the program runs.
class wisteriaflowctl_test : public object_api_fixture {
 protected:
  wisteriaflowctl_test() : serving_([this] { context_.run(); }) {}

  wisteriaflowctl_test(const wisteriaflowctl_test&) = delete;
  wisteriaflowctl_test& operator=(const wisteriaflowctl_test&) = delete;

  ~wisteriaflowctl_test() override
  {
    context_.stop();
    serving_.join();
  }

  program_result run(const std::string& arguments, const std::string& input = "")
  {
    return run_tool("--platform=" + platform_ + " --as=mere " + arguments, input);
  }

 private:
  std::string platform_ = http::to_string(fake_.address());
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ =
      boost::asio::make_work_guard(context_);
  std::thread serving_;
};
using WisteriaflowctlTest = wisteriaflowctl_test; // NOLINT(readability-identifier-naming)

const std::string one_workspace = R"({"kind":"Workspace","metadata":{"name":"w"}})";

// An address where nothing listens.
const std::string unreachable_address = "127.0.0.1:1";

TEST_F(WisteriaflowctlTest, AppliesLabelsGetsAndDeletes)
{
  EXPECT_EQ(run("--output=json apply --file=-", one_workspace).out,
            R"({"changes":[{"kind":"Workspace","name":"w","revision":1,"result":"created"}]})"
            "\n");
  EXPECT_EQ(run("label workspace w tier=gold").exit_code, 0);
  const auto seen = boost::json::parse(run("get workspace w --output=json").out);
  EXPECT_EQ(seen.at_pointer("/items/0/metadata/labels/tier"), "gold");
  EXPECT_EQ(run("delete workspace w").exit_code, 0);
}

TEST_F(WisteriaflowctlTest, DistinguishesNotFoundFromConflict)
{
  EXPECT_EQ(run("get pool none").exit_code, 3);
  EXPECT_EQ(run("apply --file=-", one_workspace).exit_code, 0);
  EXPECT_EQ(run("label workspace w a=1 --expect_revision=99").exit_code, 4);
}

TEST(WisteriaflowctlOfflineTest, ExitsWithTheCodeOfTheError)
{
  const auto code_of = [](const std::string& arguments, const std::string& input = "") {
    return run_tool("--timeout_ms=200 " + arguments, input).exit_code;
  };
  EXPECT_EQ(code_of(""), 1);
  EXPECT_EQ(code_of("brew"), 1);
  EXPECT_EQ(code_of("get --output=tea"), 1);
  EXPECT_EQ(code_of("--no_such_flag"), 1);
  EXPECT_EQ(code_of("get teapot"), 2);
  EXPECT_EQ(code_of("validate --file=-", "{"), 2);
  EXPECT_EQ(code_of("get --platform=" + unreachable_address), 5);
  EXPECT_EQ(code_of("fleet --daemon=" + unreachable_address), 6);
}

TEST(WisteriaflowctlOfflineTest, ValidatesWithoutAPlatform)
{
  const auto ended = run_tool("validate --output=json --file=-", one_workspace);
  EXPECT_EQ(ended.exit_code, 0);
  EXPECT_EQ(ended.out, "{\"valid\":true,\"objects\":1}\n");
}

TEST(WisteriaflowctlOfflineTest, WritesErrorsToStandardError)
{
  const auto faulty = R"({"kind":"Pool","metadata":{"name":"p"},"spec":{"model":"m","size":3}})";
  EXPECT_EQ(run_tool("validate --file=-", faulty).out, "");
  const auto errors = run_tool("validate --file=-", faulty, "2>&1 >/dev/null").out;
  EXPECT_NE(errors.find("Pool p: spec.size is 3; allowed:"), std::string::npos) << errors;
}

} // namespace
} // namespace wisteriaflow::platform
