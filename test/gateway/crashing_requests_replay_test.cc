// Replays a fleet before endpoints that end: by requests that end whatever runs them and come again
// and again, or by other causes. Counts how often such a request is still sent, and how many others
// are refused for having been near.

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
// As long as daemons in touch may take to know.
constexpr auto contact_time = 3s;
constexpr std::size_t tolerated_sends = 3;
// One in 500 requests may be refused wrongly.
constexpr double tolerated_refusals = 1.0 / 500;

struct fleet_options {
  std::size_t daemons = 6;
  std::size_t endpoints = 9;
  std::size_t places = 64; // of an endpoint
  double arrivals = 0.6;   // a step; with 1.5 s on the mean 64 run at each endpoint at 3.8
  double popular = 0.0;    // share of requests of one of five contents that come all the time
  std::vector<std::uint64_t> deadly; // contents
  std::chrono::milliseconds deadly_period{700};
  int at_once = 1;                        // deadly requests of one content that come together
  std::chrono::milliseconds zone_loss{0}; // from one loss of a third of the endpoints to the next
  std::uint64_t seed = 1;
};

struct tally {
  std::size_t others = 0;
  std::size_t others_refused = 0;
  std::size_t deadly_sent_late = 0; // later than `contact_time` after the third end under it

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
      begin_deadly(now);
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
    bool is_deadly = false;
    std::size_t daemon = 0;
    unsigned attempts_left = 1; // of this daemon
    unsigned repeats_left = 1;  // of the caller, elsewhere
    wall_time first_event_at;
    wall_time ends_at;
  };

  struct endpoint {
    std::uint64_t incarnation = 1;
    std::optional<wall_time> back_at; // nothing: it is there
    std::vector<request> running;
  };

  struct record_of_deadly {
    std::size_t ended = 0;
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
      // Some may go on elsewhere, and callers repeat once.
      send({.content = content,
            .daemon = draw_below(options_.daemons),
            .attempts_left = draw(0.5) ? 2U : 1U},
           now);
    }
  }

  void begin_deadly(wall_time now)
  {
    if ((now - start) % options_.deadly_period != 0ms) {
      return;
    }
    for (const auto content : options_.deadly) {
      for (int i = 0; i < options_.at_once; ++i) {
        send({.content = content, .is_deadly = true, .daemon = draw_below(options_.daemons)}, now);
      }
    }
  }

  void send(request r, wall_time now)
  {
    if (is_held(r, now)) {
      tally_.others_refused += r.is_deadly ? 0 : 1;
      return;
    }
    std::vector<endpoint*> open;
    for (auto& e : endpoints_) {
      if (!e.back_at && e.running.size() < options_.places) {
        open.push_back(&e);
      }
    }
    if (open.empty()) {
      return;
    }
    const auto third_at = deadly_[r.content].third_at;
    tally_.deadly_sent_late += r.is_deadly && third_at && now >= *third_at + contact_time ? 1 : 0;
    const auto run_time = std::chrono::milliseconds(200 + draw_below(2'600));
    r.first_event_at = now + 150ms;
    r.ends_at = now + (r.is_deadly ? 80ms : run_time);
    open[draw_below(open.size())]->running.push_back(r);
  }

  // One daemon tries a held content when that is due, one request at a time.
  bool is_held(const request& r, wall_time now)
  {
    const auto hold = daemons_[r.daemon].hold_of(content_of(r.content));
    const bool may_try = hold && hold->try_at <= now && r.content % options_.daemons == r.daemon &&
                         !is_running(r.content);
    return hold && !may_try;
  }

  bool is_running(std::uint64_t content) const
  {
    const auto is_it = [content](const request& r) { return r.content == content; };
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const endpoint& e) {
      return std::any_of(e.running.begin(), e.running.end(), is_it);
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
        const bool answered = !r.is_deadly && r.ends_at <= now;
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
      if (e.back_at && *e.back_at <= now) {
        e.back_at.reset();
        ++e.incarnation;
      }
      const auto ends_it = [&](const request& r) { return r.is_deadly && r.ends_at <= now; };
      if (std::any_of(e.running.begin(), e.running.end(), ends_it)) {
        crash(e, i, now);
      }
    }
  }

  void crash(endpoint& e, std::size_t number, wall_time now)
  {
    const endpoint_process process{.id = endpoint_id("i-" + std::to_string(number)),
                                   .incarnation = e.incarnation};
    const auto lost = std::exchange(e.running, {});
    e.back_at = now + 4s;
    for (const auto& r : lost) {
      daemons_[r.daemon].on_crash(
          {.process = process,
           .content = content_of(r.content),
           .stage = r.first_event_at <= now ? answer_stage::begun : answer_stage::not_begun,
           .at = now});
    }
    std::map<std::uint64_t, bool> seen;
    for (const auto& r : lost) {
      if (r.is_deadly && !std::exchange(seen[r.content], true)) {
        auto& record = deadly_[r.content];
        if (++record.ended == 3) {
          record.third_at = now;
        }
      }
    }
    for (const auto& r : lost) {
      send_again(r, now);
    }
  }

  void send_again(request r, wall_time now)
  {
    if (r.is_deadly) {
      return; // it comes again by itself
    }
    if (--r.attempts_left == 0) {
      if (r.repeats_left == 0) {
        return;
      }
      --r.repeats_left;
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
    std::map<const crash_suspects*, crash_news> news;
    for (auto& d : daemons_) {
      news.emplace(&d, d.news(now));
    }
    for (auto& to : daemons_) {
      for (const auto& from : daemons_) {
        if (&from != &to) {
          to.absorb(news.at(&from), now);
        }
      }
      to.tick(now);
    }
  }

  fleet_options options_;
  std::mt19937_64 random_;
  std::vector<endpoint> endpoints_;
  std::vector<crash_suspects> daemons_;
  std::map<std::uint64_t, record_of_deadly> deadly_;
  std::uint64_t last_content_ = 1'000'000;
  tally tally_;
};

// Both sides of what is asked, for several seeds.
void expect_kept(fleet_options options, std::chrono::milliseconds time = 100s)
{
  tally sum;
  for (options.seed = 1; options.seed <= 6; ++options.seed) {
    const auto one = fleet(options).run(time);
    EXPECT_LE(one.deadly_sent_late, tolerated_sends * options.deadly.size())
        << "seed " << options.seed;
    sum.others += one.others;
    sum.others_refused += one.others_refused;
  }
  EXPECT_LE(sum.share_refused(), tolerated_refusals)
      << sum.others_refused << " of " << sum.others << " refused";
  testing::Test::RecordProperty("others", std::to_string(sum.others));
  testing::Test::RecordProperty("others_refused", std::to_string(sum.others_refused));
}

TEST(CrashingRequestsReplayTest, OneThatComesAgainAndAgain)
{
  expect_kept({.deadly = {1}});
}

TEST(CrashingRequestsReplayTest, OneInFullBatches)
{
  expect_kept({.arrivals = 3.8, .deadly = {1}});
}

TEST(CrashingRequestsReplayTest, OneThatComesSeveralTimesAtOnce)
{
  expect_kept({.arrivals = 3.8, .deadly = {1}, .at_once = 4});
}

TEST(CrashingRequestsReplayTest, FiveThatComeTogether)
{
  expect_kept({.arrivals = 3.8, .deadly = {1, 2, 3, 4, 5}});
}

TEST(CrashingRequestsReplayTest, OneAmongContentsThatComeAllTheTime)
{
  expect_kept({.arrivals = 3.8, .popular = 0.3, .deadly = {1}});
}

TEST(CrashingRequestsReplayTest, ZonesThatAreLostWithoutNotice)
{
  expect_kept({.arrivals = 3.8, .popular = 0.3, .zone_loss = 8s});
}

TEST(CrashingRequestsReplayTest, OneWhileZonesAreLost)
{
  expect_kept({.arrivals = 3.8, .popular = 0.1, .deadly = {1}, .zone_loss = 8s});
}

TEST(CrashingRequestsReplayTest, OneInALargeFleet)
{
  expect_kept({.daemons = 24, .endpoints = 60, .arrivals = 10, .deadly = {1, 2}});
}

} // namespace
} // namespace wisteriaflow::gateway
