// Case: machines are killed and start again while a release is under way and callers resume what
// was cut.
//
// usage: case_start RECORD TROUBLE

#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.hpp"

namespace {

using namespace review;

constexpr double traffic_s = 68;
constexpr double trouble_at_s = 6;
constexpr int daemon_count = 18;
// Killed at the same moment, half of them.
constexpr std::array<std::size_t, 9> killed = {0, 2, 4, 6, 8, 10, 11, 13, 15};
constexpr int kills = 15;
constexpr double kill_period_s = 4;
constexpr double restart_delay_s = 1.2; // of a process that was killed or has ended by itself
constexpr double requests_per_s = 65;
constexpr int events = 50;
constexpr int runner_count = 9;
constexpr int replaced_runners = 4; // by ones of the next version, in a release
constexpr int most_tries = 4;       // of a caller, beyond its first one
constexpr int timeout_ms = 12'000;

json::value make_configuration()
{
  return configuration(
      4,
      {{"name", "r-assist"},
       {"host", "ficu95.example"},
       {"pathPrefix", "/assist/"},
       {"kind", "streaming"},
       {"timeoutMs", timeout_ms},
       {"targetLatencyMs", 600},
       {"priority", 0},
       {"service", "models"},
       {"maxAttempts", 2},
       {"public", false},
       {"sticky", true},
       {"resumable", true},
       {"targetGapMs", 800}},
      {{"name", "models"},
       {"healthPath", "/healthz"},
       {"maxConnections", 360},
       {"protocol", "h1"},
       {"tls", false},
       {"engine", {{"slots", 64}, {"kvCapacityTokens", 623436}, {"models", {{{"name", "m"}}}}}}},
      {{"name", "hule930"},
       {"apiKeys", {"i9n73hh2b9wu3fexd9dn"}},
       {"unit", "token_count"},
       {"plainTokens", 200},
       {"ratePerS", 0},
       {"burst", 0}});
}

// The highest id of the complete events in `body`.
int last_event(const std::string& body)
{
  const auto end = body.rfind("\n\n");
  const auto at = end == std::string::npos ? end : body.rfind("id: ", end);
  return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

int run(recorder& record, bool trouble)
{
  auto& d = *new deployment(record, daemon_count); // its threads run until the process exits
  d.registry.answer_ms = 4;
  d.registry.put("config", "main", make_configuration());
  auto& runners = *new std::vector<std::unique_ptr<runner>>;
  for (int i = 0; i < runner_count; ++i) {
    runners.push_back(std::make_unique<runner>(
        runner_options{.id = "i-" + std::to_string(i + 1),
                       .service = "models",
                       .zone = std::string(1, static_cast<char>('a' + i % 4)),
                       .version = i < replaced_runners ? "v2" : "v1",
                       .kv_tokens = 623'436,
                       .work = ms(100),
                       .events = events},
        d.registry, d.arrived));
  }
  if (!d.start()) {
    return 2;
  }
  const double begin = now_s();
  record.line("traffic begins");
  std::mutex mutex;
  std::map<std::string, int> outcomes;
  std::atomic<std::size_t> next = 0;
  const auto send = [&](int n) {
    const double deadline = now_s() + timeout_ms / 1000.0;
    std::string result = "not served";
    int received = 0;
    int resumed = 0;
    for (int tries = 0; tries <= most_tries && now_s() < deadline; ++tries) {
      const auto id = request_id();
      std::unique_ptr<stream> connection;
      std::string to;
      for (int i = 0; i < daemon_count && !connection; ++i) { // machines that are down refuse
        auto& daemon = *d.daemons[next++ % daemon_count];
        to = daemon.name();
        connection = stream::connect(daemon.front(), ms(1000));
      }
      if (!connection) {
        std::this_thread::sleep_for(ms(200));
        --tries;
        continue;
      }
      const auto left_ms = static_cast<int>((deadline - now_s()) * 1000);
      connection->set_deadline(steady::now() + ms(left_ms));
      const auto resume =
          received > 0 ? "Last-Event-Id: " + std::to_string(received) + "\r\n" : std::string();
      resumed += received > 0 ? 1 : 0;
      connection->write(
          "POST /assist/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id +
          "\r\nModel: m\r\nToken-Usage: 200,250\r\nPrompt-Prefix: " + std::to_string(n) +
          ":200\r\n" + resume + "Deadline-Ms: " + std::to_string(left_ms) +
          "\r\nApi-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: 5\r\n\r\nhello");
      const auto reply = connection->read_message(true);
      record.line("request " + id + " to " + to + (received > 0 ? ", resumed" : "") + ": " +
                  (reply ? std::to_string(reply->status) : "broke off"));
      if (reply && reply->status == 200) {
        result = "served";
        break;
      }
      received = std::max(received, last_event(connection->partial()));
      const double pause = reply ? std::strtod(reply->header("Retry-After").c_str(), nullptr) : 0.0;
      std::this_thread::sleep_for(std::chrono::duration<double>(pause + 0.005 * (n * 37 % 100)));
    }
    const std::lock_guard lock(mutex);
    ++outcomes[result + (resumed > 0 ? " after resuming" : "")];
  };
  std::vector<int> own_ends(daemon_count, 0);
  // A child ends with the thread that has started it, so one thread is the platform.
  std::thread platform([&] {
    if (!trouble) {
      return;
    }
    std::vector<double> started_at(daemon_count, begin);
    std::vector<double> start_due(daemon_count, 0); // 0: none
    int kills_done = 0;
    while (now_s() < begin + traffic_s + timeout_ms / 1000.0) {
      const double now = now_s();
      if (kills_done < kills && now >= begin + trouble_at_s + kills_done * kill_period_s) {
        ++kills_done;
        std::string names;
        for (const auto i : killed) {
          d.daemons[i]->kill_now();
          start_due[i] = now_s() + restart_delay_s;
          names += " " + d.daemons[i]->name();
        }
        record.line("killed at the same moment:" + names);
      }
      for (std::size_t i = 0; i < daemon_count; ++i) {
        auto& daemon = *d.daemons[i];
        if (start_due[i] > 0) {
          if (now >= start_due[i]) {
            start_due[i] = 0;
            started_at[i] = now;
            daemon.start();
          }
        } else if (!daemon.is_running()) {
          ++own_ends[i];
          record.line(daemon.name() + " ended by itself, by signal " +
                      std::to_string(daemon.ended_by()) + ", " +
                      std::to_string(now - started_at[i]) + " s after its start");
          start_due[i] = now + restart_delay_s;
        }
      }
      std::this_thread::sleep_for(ms(5));
    }
  });
  std::vector<std::thread> threads;
  for (int n = 0; n < static_cast<int>(traffic_s * requests_per_s); ++n) {
    sleep_until_s(begin + n / requests_per_s);
    threads.emplace_back([&, n] { send(n + 1); });
  }
  for (auto& each : threads) {
    each.join();
  }
  platform.join();
  for (const auto& [what, n] : outcomes) {
    record.line(what + ": " + std::to_string(n));
  }
  int machines = 0;
  for (std::size_t i = 0; i < daemon_count; ++i) {
    machines += own_ends[i] >= 3 ? 1 : 0;
    if (own_ends[i] > 0) {
      record.line(d.daemons[i]->name() + " ended by itself " + std::to_string(own_ends[i]) +
                  " times");
    }
  }
  const bool broken = machines >= 2; // a tenth of them are 1.8
  record.line("machines whose process ended by itself three times: " + std::to_string(machines) +
              "; rule Fault " + (broken ? "broken" : "held"));
  d.end();
  return broken ? 1 : outcomes["served"] > 0 ? 0 : 2;
}

} // namespace

int main(int argc, char** argv)
{
  review::run_case(argc, argv, run);
}
