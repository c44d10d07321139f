// Case: configurations in quick succession that change a tenant's usage cap a little.
//
// usage: case_quota RECORD TROUBLE

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.hpp"

namespace {

using namespace review;

constexpr double rate = 62'000; // tokens a second
constexpr double changed_rate = 62'500;
constexpr double traffic_s = 24;
constexpr double storm_at_s = 10;
constexpr double storm_s = 4;
constexpr double storm_gap_s = 0.33;
constexpr double requests_per_s = 100; // for 11 s; before and after, within the cap
constexpr double hot_at_s = 8;
constexpr double hot_s = 11;
constexpr int usual_part = 4; // one in so many of these
constexpr int prompt_tokens = 2'000;
constexpr int output_tokens = 100;
// The bounds quotaWindowS, quotaOver and quotaSlack.
constexpr double window_s = 8;
constexpr double over = 0.1;
constexpr double slack = 140'000;

json::value make_configuration(std::uint64_t version, double tokens_per_s)
{
  return configuration(
      version,
      {{"name", "r-draft"},
       {"host", "ficu95.example"},
       {"pathPrefix", "/draft/"},
       {"kind", "streaming"},
       {"timeoutMs", 3000},
       {"targetLatencyMs", 800},
       {"priority", 2},
       {"service", "models"},
       {"maxAttempts", 1},
       {"public", false},
       {"sticky", true},
       {"resumable", false},
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
       {"ratePerS", tokens_per_s},
       {"burst", tokens_per_s}});
}

struct outcome {
  double sent_at = 0;
  int status = 0; // 0: no answer
};

int run(recorder& record, bool trouble)
{
  deployment d(record, 3);
  std::uint64_t version = 4;
  d.registry.put("config", "main", make_configuration(version, rate));
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 1; i <= 4; ++i) {
    runners.push_back(std::make_unique<runner>(
        runner_options{.id = "i-" + std::to_string(i),
                       .service = "models",
                       .zone = std::string(1, static_cast<char>('a' + i % 3)),
                       .kv_tokens = 623'436,
                       .work = ms(10),
                       .events = 3},
        d.registry, d.arrived));
  }
  if (!d.start()) {
    return 2;
  }
  const double begin = now_s();
  record.line("traffic begins");
  std::mutex mutex;
  std::map<std::string, outcome> sent; // by request
  std::vector<std::thread> threads;
  const auto send = [&](front_daemon& to, int n) {
    const auto id = request_id();
    const outcome at_sending{.sent_at = now_s()};
    int status = 0;
    if (const auto connection = stream::connect(to.front(), ms(1000))) {
      connection->set_deadline(steady::now() + ms(3000));
      connection->write("POST /draft/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id +
                        "\r\nModel: m\r\nToken-Usage: " + std::to_string(prompt_tokens) + "," +
                        std::to_string(output_tokens) + "\r\nPrompt-Prefix: " + std::to_string(n) +
                        ":" + std::to_string(prompt_tokens) +
                        "\r\nDeadline-Ms: 3000\r\nApi-Key: i9n73hh2b9wu3fexd9dn\r\n"
                        "Content-Length: 5\r\n\r\nhello");
      if (const auto reply = connection->read_message(true)) {
        status = reply->status;
      }
    }
    const std::lock_guard lock(mutex);
    sent[id] = {.sent_at = at_sending.sent_at, .status = status};
  };
  threads.emplace_back([&] {
    if (!trouble) {
      return;
    }
    for (double at = 0; at < storm_s; at += storm_gap_s) {
      sleep_until_s(begin + storm_at_s + at);
      ++version;
      const double now_in_force = version % 2 == 0 ? rate : changed_rate;
      d.registry.put("config", "main", make_configuration(version, now_in_force));
      record.line("version " + std::to_string(version) + ": ratePerS and burst " +
                  std::to_string(now_in_force));
    }
  });
  for (int n = 0; n < static_cast<int>(traffic_s * requests_per_s); ++n) {
    const double at = n / requests_per_s;
    if ((at < hot_at_s || at >= hot_at_s + hot_s) && n % usual_part != 0) {
      continue;
    }
    sleep_until_s(begin + at);
    threads.emplace_back([&, n] { send(*d.daemons[static_cast<std::size_t>(n) % 3], n + 1); });
  }
  for (auto& each : threads) {
    each.join();
  }
  // QUOTA: the tokens of requests that were both sent and run within some window.
  struct run_request {
    double sent_at = 0;
    double run_at = 0;
    double tokens = 0;
  };
  std::vector<run_request> all;
  std::map<int, int> statuses;
  for (const auto& [id, o] : sent) {
    ++statuses[o.status];
  }
  for (const auto& a : d.arrived.all()) {
    const auto it = sent.find(a.request);
    if (a.has_run && it != sent.end()) {
      all.push_back({.sent_at = it->second.sent_at, .run_at = a.at, .tokens = a.tokens});
      record.line("run: " + a.request + " sent at " + std::to_string(it->second.sent_at) +
                  ", began on " + a.runner + " at " + std::to_string(a.at));
    }
  }
  double most = 0;
  double most_at = 0;
  for (const auto& first : all) {
    double tokens = 0;
    for (const auto& each : all) {
      const bool is_inside =
          each.sent_at >= first.sent_at && each.run_at <= first.sent_at + window_s;
      tokens += is_inside ? each.tokens : 0;
    }
    if (tokens > most) {
      most = tokens;
      most_at = first.sent_at;
    }
  }
  const double highest = trouble ? changed_rate : rate;
  const double allowed = (highest * window_s + highest) * (1 + over) + slack;
  for (const auto& [status, n] : statuses) {
    record.line("answers with status " + std::to_string(status) + ": " + std::to_string(n));
  }
  record.line("most tokens in a window of 8 s: " + std::to_string(most) + ", from " +
              std::to_string(most_at) + " on; allowed " + std::to_string(allowed));
  const bool broken = most > allowed;
  record.line(std::string("rule QUOTA ") + (broken ? "broken" : "held"));
  const bool is_limited = statuses[429] > 0 && statuses[200] > 0;
  return broken ? 1 : is_limited ? 0 : 2;
}

} // namespace

int main(int argc, char** argv)
{
  review::run_case(argc, argv, run);
}
