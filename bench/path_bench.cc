// Measures the latency that one daemon adds to a call, compared with a direct call to the same
// endpoint in the same run. Also measures the daemon's throughput, its processor time and its
// memory.
//
//   path_bench --daemon=IP:PORT --daemon_pid=N --engine=IP:PORT --service=IP:PORT
//
// bench/run-path.sh starts the daemons and fakes that it needs. Prints a table and one line of
// JSON. Direct and routed calls alternate, so that other load on the machine affects both alike.

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"

ABSL_FLAG(std::string, daemon, "", "callers' address of the daemon");
ABSL_FLAG(int, daemon_pid, 0, "process id of the daemon");
ABSL_FLAG(std::string, engine, "", "address of the fake engine");
ABSL_FLAG(std::string, service, "", "address of the fake plain service");
ABSL_FLAG(int, calls, 1000, "calls of each kind");
ABSL_FLAG(int, connections, 32, "connections of the throughput part");
ABSL_FLAG(int, load_tokens, 4, "tokens of each answer of the throughput part");
ABSL_FLAG(int, idle_seconds, 5, "length of the idle part");
ABSL_FLAG(int, load_seconds, 5, "length of the throughput part");

namespace {

namespace asio = boost::asio;
namespace http = wisteriaflow::http;
using clock_type = std::chrono::steady_clock;

constexpr std::chrono::seconds call_timeout{20};
constexpr int stream_tokens = 4;

// CPU time, resident memory and threads of a process, from /proc.
struct process_usage {
  double cpu_seconds = 0;
  double resident_mb = 0;
  int threads = 0;
};

process_usage read_usage(int pid)
{
  const auto directory = "/proc/" + std::to_string(pid);
  std::ifstream stat(directory + "/stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> values{std::istream_iterator<std::string>(fields), {}};
  constexpr std::size_t user_field = 11;
  process_usage out;
  const double ticks = std::stod(values.at(user_field)) + std::stod(values.at(user_field + 1));
  out.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status(directory + "/status");
  constexpr double kilobytes_per_mb = 1024;
  while (std::getline(status, text)) {
    if (text.starts_with("VmRSS:")) {
      out.resident_mb = std::stod(text.substr(6)) / kilobytes_per_mb;
    } else if (text.starts_with("Threads:")) {
      out.threads = std::stoi(text.substr(8));
    }
  }
  return out;
}

double percentile(std::vector<double> values, double part)
{
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values.at(static_cast<std::size_t>(last * part));
}

http::request service_call(const std::string& target)
{
  http::request out;
  out.target = target;
  out.fields.push_back({.name = "Wisteriaflow-Workspace", .value = "hotel"});
  return out;
}

http::request completion_call(bool streamed, int tokens)
{
  http::request out;
  out.method = "POST";
  out.target = "/v1/completions";
  out.fields.push_back({.name = "Wisteriaflow-Workspace", .value = "hotel"});
  out.fields.push_back({.name = "Content-Type", .value = "application/json"});
  const boost::json::object body{{"model", "phrasebook"},
                                 {"prompt", "where is the lift"},
                                 {"max_tokens", tokens},
                                 {"stream", streamed}};
  out.body = boost::json::serialize(body);
  return out;
}

double milliseconds_since(clock_type::time_point start)
{
  return std::chrono::duration<double, std::milli>(clock_type::now() - start).count();
}

// Sends one request and returns the milliseconds until its complete response.
asio::awaitable<double> timed_call(http::client& client, http::socket_address to, http::request r)
{
  const auto start = clock_type::now();
  const auto deadline = start + call_timeout;
  const auto answer = co_await client.call(to, std::move(r), deadline);
  if (answer.status != 200) {
    throw http::http_error("status " + std::to_string(answer.status) + ": " + answer.body);
  }
  co_return milliseconds_since(start);
}

// Sends one request and returns the milliseconds until the first byte of the streamed body.
asio::awaitable<double> timed_stream(http::client& client, http::socket_address to, http::request r)
{
  const auto start = clock_type::now();
  const auto deadline = start + call_timeout;
  double first = 0;
  http::stream_observer observer;
  observer.on_bytes = [&](std::string_view /*bytes*/) {
    first = first == 0 ? milliseconds_since(start) : first;
  };
  co_await client.stream(to, std::move(r), deadline, std::move(observer));
  co_return first;
}

struct samples {
  std::vector<double> direct;
  std::vector<double> routed;
};

asio::awaitable<void> alternate_calls(http::client& client, samples& service, samples& stream)
{
  const auto daemon = http::parse_socket_address(absl::GetFlag(FLAGS_daemon));
  const auto engine = http::parse_socket_address(absl::GetFlag(FLAGS_engine));
  const auto service_address = http::parse_socket_address(absl::GetFlag(FLAGS_service));
  for (int i = 0; i < absl::GetFlag(FLAGS_calls); ++i) {
    auto direct = service_call("/rooms/412");
    service.direct.push_back(co_await timed_call(client, service_address, std::move(direct)));
    auto routed = service_call("/services/deliveries/rooms/412");
    service.routed.push_back(co_await timed_call(client, daemon, std::move(routed)));
    auto direct_stream = completion_call(true, stream_tokens);
    stream.direct.push_back(co_await timed_stream(client, engine, std::move(direct_stream)));
    auto routed_stream = completion_call(true, stream_tokens);
    stream.routed.push_back(co_await timed_stream(client, daemon, std::move(routed_stream)));
  }
}

asio::awaitable<void> generate_load(http::client& client, clock_type::time_point end, int& done)
{
  const auto daemon = http::parse_socket_address(absl::GetFlag(FLAGS_daemon));
  while (clock_type::now() < end) {
    auto next = completion_call(true, absl::GetFlag(FLAGS_load_tokens));
    co_await timed_stream(client, daemon, std::move(next));
    ++done;
  }
}

void rethrow(std::exception_ptr e)
{
  if (e) {
    std::rethrow_exception(e);
  }
}

boost::json::object describe(const std::string& name, const samples& s)
{
  constexpr double median = 0.5;
  constexpr double tail = 0.95;
  const double direct = percentile(s.direct, median);
  const double routed = percentile(s.routed, median);
  std::cout << std::left << std::setw(22) << name << std::right << std::fixed
            << std::setprecision(3) << " direct p50 " << direct << " ms, routed p50 " << routed
            << " ms, p95 " << percentile(s.routed, tail) << " ms, added p50 " << routed - direct
            << " ms, ratio " << routed / direct << "\n";
  return {{"direct_p50_ms", direct},
          {"routed_p50_ms", routed},
          {"direct_p95_ms", percentile(s.direct, tail)},
          {"routed_p95_ms", percentile(s.routed, tail)},
          {"added_p50_ms", routed - direct},
          {"ratio_p50", routed / direct}};
}

} // namespace

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  const int pid = absl::GetFlag(FLAGS_daemon_pid);
  const auto idle_start = read_usage(pid);
  const auto idle_time = std::chrono::seconds(absl::GetFlag(FLAGS_idle_seconds));
  std::this_thread::sleep_for(idle_time);
  const auto idle_end = read_usage(pid);
  const double idle_percent = 100 * (idle_end.cpu_seconds - idle_start.cpu_seconds) /
                              static_cast<double>(idle_time.count());
  std::cout << "idle: " << idle_percent << "% of a core, " << idle_end.resident_mb << " MB, "
            << idle_end.threads << " threads\n";

  asio::io_context context;
  http::client client(context);
  samples service;
  samples stream;
  asio::co_spawn(context, alternate_calls(client, service, stream), rethrow);
  context.run();
  boost::json::object out{{"idle_cpu_percent", idle_percent},
                          {"idle_resident_mb", idle_end.resident_mb},
                          {"threads", idle_end.threads}};
  out["plain_call"] = describe("plain call", service);
  out["first_token"] = describe("first token (stream)", stream);

  context.restart();
  const auto before = read_usage(pid);
  const auto start = clock_type::now();
  const auto end = start + std::chrono::seconds(absl::GetFlag(FLAGS_load_seconds));
  int done = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_connections); ++i) {
    asio::co_spawn(context, generate_load(client, end, done), rethrow);
  }
  context.run();
  const auto after = read_usage(pid);
  const double seconds = milliseconds_since(start) / 1000;
  const double cpu = after.cpu_seconds - before.cpu_seconds;
  std::cout << "load: " << done / seconds << " requests/s, " << done / cpu
            << " requests per core-second, " << after.resident_mb << " MB afterwards\n";
  out["load_tokens"] = absl::GetFlag(FLAGS_load_tokens);
  out["requests_per_second"] = done / seconds;
  out["requests_per_core_second"] = done / cpu;
  out["resident_mb_after_load"] = after.resident_mb;
  std::cout << boost::json::serialize(out) << "\n";
  return 0;
}
