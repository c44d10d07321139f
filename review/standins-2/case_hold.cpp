// Case: three runners crash while many callers send the same request, which nobody has been
// answered yet.
//
// usage: case_hold RECORD TROUBLE

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.hpp"

namespace {

using namespace review;

constexpr double traffic_s = 16;
constexpr double hot_from_s = 7; // for 5.5 s, some of the requests are about one thing
constexpr double hot_s = 5.5;
constexpr double crash_at_s = 10;
constexpr double requests_per_s = 40;
constexpr int hot_percent = 28;
constexpr int runner_count = 12;
constexpr int crashing_runners = 3; // a quarter of them

json::value make_configuration()
{
  return configuration(
      4,
      {{"name", "r-review"},
       {"host", "ficu95.example"},
       {"pathPrefix", "/review/"},
       {"kind", "streaming"},
       {"timeoutMs", 15000},
       {"targetLatencyMs", 1200},
       {"priority", 1},
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
       {"ratePerS", 0},
       {"burst", 0}});
}

struct outcome {
  double sent_at = 0;
  bool hot = false;
  int status = 0; // 0: no complete answer
  bool is_signed = false;
};

int run(recorder& record, bool trouble)
{
  deployment d(record, 3);
  d.registry.put("config", "main", make_configuration());
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 0; i < runner_count; ++i) {
    runners.push_back(std::make_unique<runner>(
        runner_options{.id = "i-" + std::to_string(i + 1),
                       .service = "models",
                       .zone = std::string(1, static_cast<char>('a' + i / 3)),
                       .kv_tokens = 623'436,
                       .work = ms(150),
                       .events = 76},
        d.registry, d.arrived));
  }
  if (!d.start()) {
    return 2;
  }
  const double begin = now_s();
  record.line("traffic begins");
  std::mutex mutex;
  std::vector<outcome> outcomes;
  std::vector<std::thread> threads;
  const auto send = [&](front_daemon& to, int n, bool hot) {
    const auto id = request_id();
    outcome out{.sent_at = now_s(), .hot = hot};
    const auto part = hot ? std::string("e4402b7d") : std::to_string(n);
    const auto body = hot ? std::string("the bundle of case 17") : "the bundle of case n" + part;
    if (const auto connection = stream::connect(to.front(), ms(1000))) {
      connection->set_deadline(steady::now() + ms(15000));
      connection->write("POST /review/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id +
                        "\r\nModel: m\r\nToken-Usage: 200,380\r\nPrompt-Prefix: " + part +
                        ":200\r\nDeadline-Ms: 15000\r\nApi-Key: i9n73hh2b9wu3fexd9dn\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
      if (const auto reply = connection->read_message(true)) {
        out.status = reply->status;
        out.is_signed = !reply->header("Response-Seal").empty();
      }
    }
    record.line("request " + id + (hot ? " (hot)" : "") + " to " + to.name() + ": sent at " +
                std::to_string(out.sent_at) + ", status " + std::to_string(out.status) +
                (out.is_signed ? " of a runner" : ""));
    const std::lock_guard lock(mutex);
    outcomes.push_back(out);
  };
  threads.emplace_back([&] {
    if (!trouble) {
      return;
    }
    sleep_until_s(begin + crash_at_s);
    for (int i = 0; i < crashing_runners; ++i) {
      runners[static_cast<std::size_t>(i)]->crash();
    }
    record.line("three runners crashed");
    std::this_thread::sleep_for(ms(3600));
    for (int i = 0; i < crashing_runners; ++i) {
      runners[static_cast<std::size_t>(i)]->remove_entry();
    }
  });
  for (int n = 0; n < static_cast<int>(traffic_s * requests_per_s); ++n) {
    const double at = n / requests_per_s;
    sleep_until_s(begin + at);
    const bool hot = at >= hot_from_s && at < hot_from_s + hot_s && n * 37 % 100 < hot_percent;
    threads.emplace_back(
        [&, n, hot] { send(*d.daemons[static_cast<std::size_t>(n) % 3], n + 1, hot); });
  }
  for (auto& each : threads) {
    each.join();
  }
  for (const auto& a : d.arrived.all()) {
    record.line("runner " + a.runner + " ran " + a.request + " from " + std::to_string(a.at));
  }
  std::size_t denied = 0;
  std::size_t served = 0;
  for (const auto& o : outcomes) {
    const bool is_own_refusal = !o.is_signed && o.status >= 300 && o.status < 500 &&
                                o.status != 408 && o.status != 421 && o.status != 429;
    denied += is_own_refusal ? 1 : 0;
    served += o.status == 200 ? 1 : 0;
  }
  const double allowed = 5 + static_cast<double>(outcomes.size()) / 500;
  record.line("requests " + std::to_string(outcomes.size()) + ", served " + std::to_string(served) +
              ", ended with a 3xx or 4xx of the daemons " + std::to_string(denied) + "; allowed " +
              std::to_string(allowed));
  const bool broken = static_cast<double>(denied) > allowed;
  record.line(std::string("rule DENIED ") + (broken ? "broken" : "held"));
  return broken ? 1 : served * 2 > outcomes.size() ? 0 : 2;
}

} // namespace

int main(int argc, char** argv)
{
  review::run_case(argc, argv, run);
}
