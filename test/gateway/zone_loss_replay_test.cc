// Simulates the loss of one zone after the other: the planner orders endpoints from a simulated
// cloud that reclaims all reclaimable endpoints of a zone after a notice, and then offers none for
// some time.

#include <algorithm>
#include <map>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/scaling_planner.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

struct zone_loss {
  availability_zone zone;
  mono_time notice_at;
};

struct replay_options {
  double busy = 0; // number of endpoints that the load keeps fully busy
  unsigned max_endpoints = 6;
  std::map<availability_zone, double> prices = {
      {availability_zone("a"), 0.85}, {availability_zone("b"), 1.2}, {availability_zone("c"), 1.0}};
  std::vector<zone_loss> losses;
  // Time after a notice without reclaimable offers in any zone.
  std::chrono::milliseconds capacity_exhausted_time{14'000};
};

class cloud {
 public:
  explicit cloud(const replay_options& options) : options_(options) {}

  // Runs until `end` and returns the number of endpoints that served in each half second.
  std::vector<unsigned> run(mono_time end)
  {
    std::vector<unsigned> served;
    for (auto now = start; now < end; now += 500ms) {
      begin_losses(now);
      const auto in = input(now);
      served.push_back(serving(now));
      for (const auto& order : planner_.plan(in, now)) {
        planner_.on_result(order, answer_to(order, now), now);
      }
    }
    return served;
  }

  // On-demand or reclaimable endpoints that are serving or starting.
  [[nodiscard]] unsigned present(bool reclaimable) const
  {
    unsigned sum = 0;
    for (const auto& [subject, since] : endpoints_) {
      sum += subject.reclaimable == reclaimable ? static_cast<unsigned>(since.size()) : 0;
    }
    return sum;
  }

 private:
  void begin_losses(mono_time now)
  {
    for (const auto& loss : options_.losses) {
      if (loss.notice_at == now) {
        endpoints_[{.service = "chat", .zone = loss.zone, .reclaimable = true}].clear();
        capacity_exhausted_until_ = now + options_.capacity_exhausted_time;
      }
    }
  }

  scaling_input input(mono_time now) const
  {
    scaling_input in{.service = "chat",
                     .limits = {.min_endpoints = 1,
                                .max_endpoints = options_.max_endpoints,
                                .startup_time = start_time,
                                .reclaimable_price_ratio = 0.22,
                                .zone_prices = options_.prices},
                     .busy_endpoints = options_.busy};
    for (const auto& [subject, since] : endpoints_) {
      in.serving[subject] = serving_in(since, now);
    }
    return in;
  }

  static unsigned serving_in(const std::vector<mono_time>& since, mono_time now)
  {
    return static_cast<unsigned>(
        std::count_if(since.begin(), since.end(), [now](auto at) { return at <= now; }));
  }

  unsigned serving(mono_time now) const
  {
    unsigned sum = 0;
    for (const auto& [subject, since] : endpoints_) {
      sum += serving_in(since, now);
    }
    return sum;
  }

  order_result answer_to(const endpoint_order& order, mono_time now)
  {
    auto& since = endpoints_[order.group];
    if (order.group.reclaimable && order.wanted > since.size() && now < capacity_exhausted_until_) {
      return order_result::capacity_exhausted;
    }
    since.resize(order.wanted, now + start_time);
    return order_result::accepted;
  }

  static constexpr std::chrono::milliseconds start_time{4'000};

  replay_options options_;
  scaling_planner planner_{{}};
  std::map<endpoint_group, std::vector<mono_time>> endpoints_; // start of service of each endpoint
  mono_time capacity_exhausted_until_ = start;
};

// Losses of three zones within twenty seconds, with a load of 58 busy endpoints.
replay_options large_fleet()
{
  return {.busy = 58,
          .max_endpoints = 60,
          .losses = {{availability_zone("b"), start + 20s},
                     {availability_zone("c"), start + 26s},
                     {availability_zone("a"), start + 40s}}};
}

unsigned min_served(const std::vector<unsigned>& served, mono_time from, mono_time to)
{
  const auto index = [](mono_time at) { return (at - start) / 500ms; };
  return *std::min_element(served.begin() + index(from), served.begin() + index(to));
}

TEST(ZoneLossReplayTest, ServingEndpointsAreKeptWhileOthersStart)
{
  auto options = large_fleet();
  cloud c(options);
  const auto served = c.run(start + 50s);
  // After the last notice, only the on-demand endpoints of all zones are left.
  const auto before_notice =
      served[static_cast<std::size_t>((options.losses[2].notice_at - start) / 500ms) - 1];
  const auto left =
      min_served(served, options.losses[2].notice_at, options.losses[2].notice_at + 4s);
  options.losses.pop_back();
  cloud without_last_loss(options);
  without_last_loss.run(options.losses[1].notice_at + 13s);
  EXPECT_GE(left, without_last_loss.present(false)) << "of " << before_notice;
}

// When the reclaimable endpoints of the last zone are lost too, on-demand endpoints carry the load
// alone. Starting an endpoint takes longer than the notice, so that they must be serving before it.
TEST(ZoneLossReplayTest, TheLossOfTheLastZoneIsCoveredBeforeItsNotice)
{
  auto options = large_fleet();
  options.capacity_exhausted_time = 20s;
  cloud c(options);
  const auto served = c.run(start + 50s);
  const auto last_notice = options.losses[2].notice_at;
  constexpr double max_utilization = 0.65;
  EXPECT_GE(min_served(served, last_notice, last_notice + 8s), options.busy / max_utilization);
}

TEST(ZoneLossReplayTest, ReclaimableEndpointsTakeOverAgainAfterTheLoss)
{
  cloud c(large_fleet());
  c.run(start + 110s);
  EXPECT_GT(c.present(true), c.present(false));
}

TEST(ZoneLossReplayTest, AFewEndpointsServeThroughAllLosses)
{
  cloud c({.busy = 2,
           .losses = {{availability_zone("c"), start + 20s},
                      {availability_zone("b"), start + 24s},
                      {availability_zone("a"), start + 25s}}});
  const auto served = c.run(start + 60s);
  EXPECT_GE(min_served(served, start + 10s, start + 60s), 2U);
}

} // namespace
} // namespace wisteriaflow::gateway
