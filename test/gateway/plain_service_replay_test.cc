// Simulates the load of a plain service with few places: the endpoint pools of many daemons, which
// get each other's work reports with a delay, and endpoints that refuse calls when their queue is
// full.

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/endpoint_pool.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

struct replay_options {
  std::size_t daemons = 1;
  std::size_t endpoints = 1;
  double calls_per_second = 0; // from all daemons together
  std::uint32_t places = 6;
  std::size_t queue = 24;                  // maximum length of an endpoint's queue
  std::chrono::milliseconds call_time{60}; // mean duration of a call
  std::chrono::milliseconds report_period{
      400}; // of the work reports from each daemon to all others
  std::chrono::milliseconds length{20'000};
};

struct replay_result {
  int calls = 0;
  int refused = 0;
  int waited = 0; // calls that found no free place
};

class plain_service {
 public:
  explicit plain_service(const replay_options& options) : options_(options)
  {
    std::vector<endpoint_record> all;
    for (std::size_t i = 0; i < options.endpoints; ++i) {
      const endpoint_id id("e" + std::to_string(i));
      all.push_back({.id = id,
                     .revision = 1,
                     .service = "app",
                     .address = {.host = "10.0.0.1", .port = 80},
                     .zone = availability_zone("z"),
                     .places = options.places});
      open_[id] = 0;
    }
    for (std::size_t i = 0; i < options.daemons; ++i) {
      daemons_.push_back(std::make_unique<endpoint_pool>(
          endpoint_pool_options{.zone = availability_zone("z"), .seed = i}));
      daemons_.back()->replace_all(all, 1, start);
    }
  }

  replay_result run()
  {
    std::exponential_distribution<double> gap(options_.calls_per_second);
    auto next_report = start;
    auto now = start;
    while (now < start + options_.length) {
      now += to_duration(gap(rng_));
      end_calls(now);
      if (now >= next_report) {
        report(now);
        next_report += options_.report_period;
      }
      call(now);
    }
    return result_;
  }

 private:
  struct running_call {
    mono_time ends_at;
    std::size_t daemon = 0;
    pooled_endpoint endpoint;

    bool operator>(const running_call& other) const { return ends_at > other.ends_at; }
  };

  static mono_time::duration to_duration(double s)
  {
    return std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
  }

  void call(mono_time now)
  {
    const std::size_t daemon = rng_() % daemons_.size();
    const auto choice = daemons_[daemon]->choose(
        {.service = "app", .target = now + 300ms, .deadline = now + 3s}, now);
    const auto* chosen = std::get_if<pooled_endpoint>(&choice);
    ASSERT_TRUE(chosen);
    ++result_.calls;
    auto& open = open_[chosen->id];
    if (open >= options_.places + options_.queue) {
      ++result_.refused;
      daemons_[daemon]->on_finished(chosen->work, 0, now);
      return;
    }
    result_.waited += open >= options_.places ? 1 : 0;
    ++open;
    // If there is a queue, a call also waits for the calls ahead of it.
    const double turns = 1 + static_cast<double>(open) / options_.places;
    std::exponential_distribution<double> time(
        1 / std::chrono::duration<double>(options_.call_time).count());
    const double length = time(rng_) * (open > options_.places ? turns : 1);
    running_.push({.ends_at = now + to_duration(length), .daemon = daemon, .endpoint = *chosen});
  }

  void end_calls(mono_time now)
  {
    while (!running_.empty() && running_.top().ends_at <= now) {
      const auto& ended = running_.top();
      auto work = ended.endpoint.work;
      daemons_[ended.daemon]->on_first_token(work, ended.ends_at);
      daemons_[ended.daemon]->on_finished(work, 1, ended.ends_at);
      --open_[ended.endpoint.id];
      running_.pop();
    }
  }

  void report(mono_time now)
  {
    for (std::size_t from = 0; from < daemons_.size(); ++from) {
      for (std::size_t to = 0; to < daemons_.size(); ++to) {
        if (from != to) {
          daemons_[to]->on_peer_work(daemon_id("d" + std::to_string(from)),
                                     daemons_[from]->own_work(), now);
        }
      }
    }
    for (auto& d : daemons_) {
      d->refresh_loads(now);
    }
  }

  replay_options options_;
  std::vector<std::unique_ptr<endpoint_pool>> daemons_;
  std::map<endpoint_id, std::size_t> open_; // calls, running and waiting
  std::priority_queue<running_call, std::vector<running_call>, std::greater<>> running_;
  std::mt19937_64 rng_{7};
  replay_result result_;
};

TEST(PlainServiceReplayTest, EightyDaemonsDoNotOverloadFiveEndpoints)
{
  const auto result = plain_service({.daemons = 80, .endpoints = 5, .calls_per_second = 215}).run();
  EXPECT_GT(result.calls, 4'000);
  EXPECT_EQ(result.refused, 0);
  EXPECT_LT(result.waited, result.calls / 10);
}

TEST(PlainServiceReplayTest, TwoDaemonsDoNotOverloadThreeEndpoints)
{
  const auto result = plain_service({.daemons = 2, .endpoints = 3, .calls_per_second = 130}).run();
  EXPECT_GT(result.calls, 2'000);
  EXPECT_EQ(result.refused, 0);
  EXPECT_LT(result.waited, result.calls / 10);
}

} // namespace
} // namespace wisteriaflow::gateway
