// Simulates a fleet whose endpoints crash, either because of crash requests, which terminate every
// endpoint that runs them and are sent again and again, or for other reasons. Counts how often a
// crash request is still sent, and how many other requests are refused because they were in flight
// at crashed endpoints.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const wall_time start = from_unix_ms(1'796'000'000'000);
constexpr auto step = 10ms;
// Time in which connected daemons must learn of a crash.
constexpr auto propagation_time = 3s;
constexpr std::size_t tolerated_sends = 3;
// One in 500 other requests may be refused wrongly.
constexpr double tolerated_refusals = 1.0 / 500;

struct fleet_options {
  std::size_t daemons = 6;
  std::size_t endpoints = 9;
  std::size_t places = 64; // requests that an endpoint runs concurrently
  double arrivals = 0.6; // per step; at 3.8, with a mean run time of 1.5 s, 64 run at each endpoint
  double popular = 0.0;  // share of requests with one of five contents that are sent all the time
  std::vector<std::uint64_t> crashing; // contents of the crash requests
  std::chrono::milliseconds crashing_period{700};
  int batch_size = 1;                     // crash requests with one content that are sent at once
  std::chrono::milliseconds zone_loss{0}; // interval between losses of a third of the endpoints
  std::uint64_t seed = 1;
};

struct tally {
  std::size_t others = 0;
  std::size_t others_refused = 0;
  std::size_t crashing_sent_late =
      0; // more than `propagation_time` after the third crash caused by the content

  [[nodiscard]] double share_refused() const
  {
    return static_cast<double>(others_refused) /
           static_cast<double>(std::max<std::size_t>(1, others));
  }
};

class fleet {
 public:
  explicit fleet(const fleet_options& options)
      : options_(options), random_(options.seed), endpoints_(options.endpoints)
  {
    for (std::size_t i = 0; i < options_.daemons; ++i) {
      daemons_.emplace_back(crash_suspects_options{});
    }
  }

  tally run(std::chrono::milliseconds time)
  {
    for (auto now = start; now < start + time; now += step) {
      begin_others(now);
      begin_crashing(now);
      lose_zone(now);
      end_answered(now);
      end_crashed(now);
      exchange(now);
    }
    return tally_;
  }

 private:
  struct request {
    std::uint64_t content = 0;
    bool is_crashing = false;
    std::size_t daemon = 0;
    unsigned attempts_left = 1;       // by this daemon
    unsigned caller_retries_left = 1; // by the caller, through another daemon
    wall_time first_event_at;
    wall_time ends_at;
  };

  struct endpoint {
    std::uint64_t incarnation = 1;
    std::optional<wall_time> restarts_at; // nothing: it is running
    std::vector<request> running;
  };

  struct crash_record {
    std::size_t crashes = 0;
    std::optional<wall_time> third_at;
  };

  static content_id content_of(std::uint64_t n) { return {.hash = {.high = n, .low = n}}; }

  bool draw(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

  std::size_t draw_below(std::size_t n) { return random_() % n; }

  void begin_others(wall_time now)
  {
    const int number = std::poisson_distribution<>(options_.arrivals)(random_);
    for (int i = 0; i < number; ++i) {
      ++tally_.others;
      const bool is_popular = draw(options_.popular);
      const auto content = is_popular ? 1'000 + draw_below(5) : ++last_content_;
      // Some requests may be retried at another endpoint, and each caller retries once.
      send({.content = content,
            .daemon = draw_below(options_.daemons),
            .attempts_left = draw(0.5) ? 2U : 1U},
           now);
    }
  }

  void begin_crashing(wall_time now)
  {
    if ((now - start) % options_.crashing_period != 0ms) {
      return;
    }
    for (const auto content : options_.crashing) {
      for (int i = 0; i < options_.batch_size; ++i) {
        send({.content = content, .is_crashing = true, .daemon = draw_below(options_.daemons)},
             now);
      }
    }
  }

  void send(request r, wall_time now)
  {
    if (is_held(r, now)) {
      tally_.others_refused += r.is_crashing ? 0 : 1;
      return;
    }
    std::vector<endpoint*> open;
    for (auto& e : endpoints_) {
      if (!e.restarts_at && e.running.size() < options_.places) {
        open.push_back(&e);
      }
    }
    if (open.empty()) {
      return;
    }
    const auto third_at = crash_records_[r.content].third_at;
    tally_.crashing_sent_late +=
        r.is_crashing && third_at && now >= *third_at + propagation_time ? 1 : 0;
    const auto run_time = std::chrono::milliseconds(200 + draw_below(2'600));
    r.first_event_at = now + 150ms;
    r.ends_at = now + (r.is_crashing ? 80ms : run_time);
    open[draw_below(open.size())]->running.push_back(r);
  }

  // One daemon probes a held content when that is due, with one request at a time.
  bool is_held(const request& r, wall_time now)
  {
    const auto hold = daemons_[r.daemon].hold_of(content_of(r.content));
    const bool may_try = hold && hold->probe_at <= now &&
                         r.content % options_.daemons == r.daemon && !is_running(r.content);
    return hold && !may_try;
  }

  bool is_running(std::uint64_t content) const
  {
    const auto has_content = [content](const request& r) { return r.content == content; };
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const endpoint& e) {
      return std::any_of(e.running.begin(), e.running.end(), has_content);
    });
  }

  void lose_zone(wall_time now)
  {
    if (options_.zone_loss == 0ms || (now - start) % options_.zone_loss != 0ms || now == start) {
      return;
    }
    const auto first = draw_below(3) * options_.endpoints / 3;
    for (auto i = first; i < first + options_.endpoints / 3; ++i) {
      crash(endpoints_[i], i, now);
    }
  }

  void end_answered(wall_time now)
  {
    for (auto& e : endpoints_) {
      std::erase_if(e.running, [&](const request& r) {
        const bool answered = !r.is_crashing && r.ends_at <= now;
        if (answered) {
          daemons_[r.daemon].on_answered(content_of(r.content), now);
        }
        return answered;
      });
    }
  }

  void end_crashed(wall_time now)
  {
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      auto& e = endpoints_[i];
      if (e.restarts_at && *e.restarts_at <= now) {
        e.restarts_at.reset();
        ++e.incarnation;
      }
      const auto crashes_endpoint = [&](const request& r) {
        return r.is_crashing && r.ends_at <= now;
      };
      if (std::any_of(e.running.begin(), e.running.end(), crashes_endpoint)) {
        crash(e, i, now);
      }
    }
  }

  void crash(endpoint& e, std::size_t number, wall_time now)
  {
    const endpoint_process process{.id = endpoint_id("i-" + std::to_string(number)),
                                   .incarnation = e.incarnation};
    const auto lost = std::exchange(e.running, {});
    e.restarts_at = now + 4s;
    for (const auto& r : lost) {
      daemons_[r.daemon].on_crash(
          {.process = process,
           .content = content_of(r.content),
           .stage = r.first_event_at <= now ? answer_stage::started : answer_stage::not_started,
           .at = now});
    }
    std::map<std::uint64_t, bool> seen;
    for (const auto& r : lost) {
      if (r.is_crashing && !std::exchange(seen[r.content], true)) {
        auto& record = crash_records_[r.content];
        if (++record.crashes == 3) {
          record.third_at = now;
        }
      }
    }
    for (const auto& r : lost) {
      retry(r, now);
    }
  }

  void retry(request r, wall_time now)
  {
    if (r.is_crashing) {
      return; // begin_crashing() sends it again
    }
    if (--r.attempts_left == 0) {
      if (r.caller_retries_left == 0) {
        return;
      }
      --r.caller_retries_left;
      r.attempts_left = draw(0.5) ? 2 : 1;
      r.daemon = draw_below(options_.daemons);
    }
    send(r, now);
  }

  void exchange(wall_time now)
  {
    if ((now - start) % 400ms != 0ms) {
      return;
    }
    std::map<const crash_suspects*, crash_report> reports;
    for (auto& d : daemons_) {
      reports.emplace(&d, d.recent_changes(now));
    }
    for (auto& to : daemons_) {
      for (const auto& from : daemons_) {
        if (&from != &to) {
          to.merge(reports.at(&from), now);
        }
      }
      to.tick(now);
    }
  }

  fleet_options options_;
  std::mt19937_64 random_;
  std::vector<endpoint> endpoints_;
  std::vector<crash_suspects> daemons_;
  std::map<std::uint64_t, crash_record> crash_records_;
  std::uint64_t last_content_ = 1'000'000;
  tally tally_;
};

// Checks both bounds, for several seeds: few crash requests are sent, and few other requests are
// refused.
void expect_within_bounds(fleet_options options, std::chrono::milliseconds time = 100s)
{
  tally sum;
  for (options.seed = 1; options.seed <= 6; ++options.seed) {
    const auto one = fleet(options).run(time);
    EXPECT_LE(one.crashing_sent_late, tolerated_sends * options.crashing.size())
        << "seed " << options.seed;
    sum.others += one.others;
    sum.others_refused += one.others_refused;
  }
  EXPECT_LE(sum.share_refused(), tolerated_refusals)
      << sum.others_refused << " of " << sum.others << " refused";
  testing::Test::RecordProperty("others", std::to_string(sum.others));
  testing::Test::RecordProperty("others_refused", std::to_string(sum.others_refused));
}

TEST(CrashingRequestsReplayTest, OneCrashRequestSentRepeatedly)
{
  expect_within_bounds({.crashing = {1}});
}

TEST(CrashingRequestsReplayTest, OneCrashRequestInFullBatches)
{
  expect_within_bounds({.arrivals = 3.8, .crashing = {1}});
}

TEST(CrashingRequestsReplayTest, OneCrashRequestSentSeveralTimesAtOnce)
{
  expect_within_bounds({.arrivals = 3.8, .crashing = {1}, .batch_size = 4});
}

TEST(CrashingRequestsReplayTest, FiveCrashRequestsSentTogether)
{
  expect_within_bounds({.arrivals = 3.8, .crashing = {1, 2, 3, 4, 5}});
}

TEST(CrashingRequestsReplayTest, OneCrashRequestAmongPopularContents)
{
  expect_within_bounds({.arrivals = 3.8, .popular = 0.3, .crashing = {1}});
}

TEST(CrashingRequestsReplayTest, ZonesLostWithoutNotice)
{
  expect_within_bounds({.arrivals = 3.8, .popular = 0.3, .zone_loss = 8s});
}

TEST(CrashingRequestsReplayTest, OneCrashRequestWhileZonesAreLost)
{
  expect_within_bounds({.arrivals = 3.8, .popular = 0.1, .crashing = {1}, .zone_loss = 8s});
}

TEST(CrashingRequestsReplayTest, TwoCrashRequestsInALargeFleet)
{
  expect_within_bounds({.daemons = 24, .endpoints = 60, .arrivals = 10, .crashing = {1, 2}});
}

} // namespace
} // namespace wisteriaflow::gateway
