// Case: a zone's reclaimable runners are taken away and replaced, again and again.
//
// usage: case_reclaim RECORD TROUBLE

#include <atomic>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness.hpp"
#include "runners.hpp"

namespace {

using namespace review;

constexpr int route_timeout_ms = 4'000;
constexpr int caller_deadline_ms = 8'000;
constexpr double traffic_s = 88;
constexpr double last_new_channel_s = traffic_s - 9;
constexpr int runners_per_zone = 30;
constexpr int keeping_callers = 520; // each keeps its channel
constexpr double new_channels_per_s = 4;
// A zone's runners are taken away this long after they came; others come after a pause.
constexpr double serving_s = 4;
constexpr double notice_s = 2.5;
constexpr double replaced_after_s = 4; // after the notice

json::value configuration()
{
  return {{"version", 4},
          {"routes",
           {{{"name", "r-ack"},
             {"host", "ficu95.example"},
             {"pathPrefix", "/ack/"},
             {"kind", "unsafe"},
             {"timeoutMs", route_timeout_ms},
             {"targetLatencyMs", 2000},
             {"priority", 1},
             {"service", "api"},
             {"maxAttempts", 1},
             {"public", false},
             {"sticky", false},
             {"resumable", false}}}},
          {"services",
           {{{"name", "api"},
             {"healthPath", "/healthz"},
             {"maxConnections", 360},
             {"protocol", "h1"},
             {"tls", false}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "hule930"},
             {"apiKeys", {"i9n73hh2b9wu3fexd9dn"}},
             {"ratePerS", 0},
             {"burst", 0}}}}};
}

struct outcome {
  double sent_at = 0;
  int status = 0; // 0: no answer
  double answer_s = 0;
};

std::string request_text(const std::string& id)
{
  return "POST /ack/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(caller_deadline_ms) +
         "\r\nApi-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: 5\r\n\r\nhello";
}

// Sends one request and waits until the requester's time budget is over.
outcome call(stream* connection)
{
  outcome out{.sent_at = now_s()};
  if (connection != nullptr) {
    connection->set_deadline(steady::now() + ms(caller_deadline_ms));
    connection->write(request_text(request_id()));
    if (const auto reply = connection->read_message(true)) {
      out.status = reply->status;
    }
  }
  out.answer_s = now_s() - out.sent_at;
  return out;
}

int run(const std::string& file, bool trouble)
{
  recorder record(file);
  const temporary_folder folder;
  store registry;
  arrivals arrived;
  registry.put("config", "main", configuration());
  server cloud([](const message&, stream& to) { return to.write(response_bytes(200, "{}")); });
  std::vector<std::unique_ptr<front_daemon>> daemons;
  std::string seeds;
  for (const std::string zone : {"a", "b"}) {
    daemons.push_back(std::make_unique<front_daemon>(
        "front-" + zone, zone, folder.path(), registry.address(), cloud.address(), usual_bounds()));
    seeds += (seeds.empty() ? "" : ",") + daemons.back()->control();
  }
  int started = 0;
  std::vector<std::unique_ptr<runner>> runners; // kept until the end of the process
  const auto add_zone = [&](const std::string& zone) {
    std::vector<runner*> out;
    for (int i = 0; i < runners_per_zone; ++i) {
      runners.push_back(std::make_unique<runner>(
          runner_options{.id = "i-" + zone + "-" + std::to_string(++started),
                         .service = "api",
                         .zone = zone,
                         .work = ms(1500),
                         .keep_alive_s = 10,
                         .spot = true},
          registry, arrived));
      out.push_back(runners.back().get());
    }
    return out;
  };
  auto zone_a = add_zone("a");
  auto zone_b = add_zone("b");
  for (auto& d : daemons) {
    d->set_seeds(seeds);
    d->start();
  }
  for (auto& d : daemons) {
    if (!d->await_ready(now_s() + 20)) {
      record.line(d->name() + " does not become ready: " + d->last_log_lines());
      return 2;
    }
  }
  std::this_thread::sleep_for(ms(3000));
  const double begin = now_s();
  record.line("traffic begins");
  auto& target = *daemons[0];
  std::mutex mutex;
  std::vector<outcome> kept;  // on kept channels
  std::vector<outcome> fresh; // on new channels
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  for (int i = 0; i < keeping_callers; ++i) {
    callers.emplace_back([&, i] {
      sleep_until_s(begin + 1.5 * i / keeping_callers);
      std::unique_ptr<stream> connection;
      while (!stop) {
        if (!connection) {
          connection = stream::connect(target.front(), ms(1000));
        }
        const auto out = call(connection.get());
        if (out.status == 0) {
          connection.reset();
        }
        if (out.status != 200) {
          std::this_thread::sleep_for(ms(500));
        }
        const std::lock_guard lock(mutex);
        kept.push_back(out);
      }
    });
  }
  std::thread new_channels([&] {
    std::vector<std::thread> each;
    for (int i = 0; i < static_cast<int>(last_new_channel_s * new_channels_per_s); ++i) {
      sleep_until_s(begin + i / new_channels_per_s);
      each.emplace_back([&] {
        const auto connection = stream::connect(target.front(), ms(1000));
        const auto out = call(connection.get());
        record.line("on a new channel: sent at " + std::to_string(out.sent_at) + ", " +
                    (out.status == 0 ? "no answer" : "status " + std::to_string(out.status)) +
                    " after " + std::to_string(out.answer_s) + " s");
        const std::lock_guard lock(mutex);
        fresh.push_back(out);
      });
    }
    for (auto& t : each) {
      t.join();
    }
  });
  std::thread reclaims([&] {
    const auto cycle = [&](std::string zone, std::vector<runner*> present, double first) {
      for (double at = begin + first; at < begin + traffic_s - 12;
           at += replaced_after_s + serving_s) {
        sleep_until_s(at);
        for (auto* r : present) {
          r->drain(static_cast<int>(notice_s * 1000));
        }
        sleep_until_s(at + notice_s);
        for (auto* r : present) {
          r->end();
        }
        record.line("zone " + zone + " was reclaimed; descriptors of " + target.name() + ": " +
                    std::to_string(target.open_descriptors()));
        sleep_until_s(at + replaced_after_s);
        const std::lock_guard lock(mutex);
        present = add_zone(zone);
      }
    };
    if (trouble) {
      std::thread a([&] { cycle("a", zone_a, 4); });
      std::thread b([&] { cycle("b", zone_b, 8); });
      a.join();
      b.join();
    }
  });
  for (double at = 5; at <= traffic_s; at += 5) {
    sleep_until_s(begin + at);
    record.line("descriptors: " + daemons[0]->name() + " " +
                std::to_string(daemons[0]->open_descriptors()) + ", " + daemons[1]->name() + " " +
                std::to_string(daemons[1]->open_descriptors()) + "; " + daemons[0]->name() +
                " ready " + (daemons[0]->is_ready() ? "yes" : "no"));
  }
  stop = true;
  new_channels.join();
  reclaims.join();
  for (auto& each : callers) {
    each.join();
  }
  std::this_thread::sleep_for(ms(1500));
  record.line("all callers have left; descriptors of " + target.name() + ": " +
              std::to_string(target.open_descriptors()));
  // The rule counts all requests, on kept channels too.
  std::size_t lasted = 0;
  std::size_t unanswered = 0;
  std::size_t served = 0;
  std::size_t fresh_unanswered = 0;
  const auto is_unanswered = [](const outcome& o) {
    return o.answer_s * 1000 > route_timeout_ms + 500;
  };
  for (const auto* all : {&fresh, &kept}) {
    for (const auto& o : *all) {
      lasted += o.answer_s * 1000 > route_timeout_ms ? 1 : 0;
      unanswered += is_unanswered(o) ? 1 : 0;
      served += o.status == 200 ? 1 : 0;
    }
  }
  for (const auto& o : fresh) {
    fresh_unanswered += is_unanswered(o) ? 1 : 0;
  }
  const bool broken = unanswered >= 8 && unanswered * 4 > lasted;
  record.line("requests: " + std::to_string(fresh.size() + kept.size()) + ", served " +
              std::to_string(served) + ", lasted over timeoutMs " + std::to_string(lasted) +
              ", without a final answer 0.5 s after it " + std::to_string(unanswered) +
              "; on new channels: " + std::to_string(fresh.size()) + " and " +
              std::to_string(fresh_unanswered));
  record.line(std::string("rule CONFIG ") + (broken ? "broken" : "held"));
  return broken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3) {
    return 2;
  }
  int code = 2;
  try {
    code = run(argv[1], std::string(argv[2]) != "0");
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
  }
  std::cout << (code == 1 ? "broken" : code == 0 ? "held" : "could not run") << std::endl;
  std::_Exit(code);
}
