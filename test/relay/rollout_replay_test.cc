// Simulates rollouts in whole fleets: daemons with their real state try good and bad versions
// while some daemons crash. Endpoints and the store are replaced by fakes; latencies and failures
// of calls are random.

#include <array>
#include <functional>
#include <map>

#include "relay/simulated_fleet.h"
#include "wisteriaflow/gateway/rollout_controller.h"

namespace wisteriaflow::relay {
namespace {

constexpr double trial_part = 0.1;
constexpr double trial_slack = 50;
constexpr milliseconds stop_deadline{5'000}; // after the fiftieth bad answer
constexpr milliseconds step{50};

// How calls to the target version behave.
struct simulated_version {
  std::string name;
  double failure_rate = 0;
  double slowdown = 1;
  std::string only_route;    // if not empty, calls on other routes are good
  milliseconds bad_after{0}; // time from the order until the version turns bad

  [[nodiscard]] bool is_bad() const { return failure_rate > 0.01 || slowdown > 1; }
};

struct rollout_outcome {
  gateway::rollout_phase phase = gateway::rollout_phase::trial;
  std::uint64_t calls = 0;
  std::uint64_t to_target = 0;
  std::uint64_t bad_answers = 0;
  std::uint64_t late_calls = 0; // calls to a bad version after stop_deadline
  milliseconds ended_after{0};
};

class RolloutReplayTest : public simulated_fleet {
 protected:
  // `calls` is the call rate of the whole fleet per second.
  rollout_outcome simulate(std::size_t daemons, int calls, const simulated_version& version,
                           unsigned seed, bool deaths)
  {
    random_.seed(seed);
    conductors_.clear();
    start_fleet(daemons);
    run_for(3s);
    daemons_[seed % daemons]->state.set_leader(true);
    version_ = version;
    out_ = {};
    fiftieth_bad_answer_at_.reset();
    place_order();
    for (; now_ < order_end_ + 10s && is_open(); run_for(step)) {
      if (deaths && std::bernoulli_distribution(0.002)(random_)) {
        kill_random_daemon();
      }
      send_calls(static_cast<double>(calls) * std::chrono::duration<double>(step).count());
      advance_rollout();
    }
    out_.phase = rollout_at_leader()->phase;
    out_.ended_after = std::chrono::duration_cast<milliseconds>(now_ - ordered_at_);
    // Daemons that have not heard of the end yet continue for a moment.
    for (int i = 0; i < 60; ++i, run_for(step)) {
      send_calls(static_cast<double>(calls) * std::chrono::duration<double>(step).count());
    }
    return out_;
  }

  void expect_limits_kept(const rollout_outcome& p, const std::string& what)
  {
    if (!version_.is_bad()) {
      return;
    }
    EXPECT_LE(static_cast<double>(p.to_target),
              trial_part * static_cast<double>(p.calls) + trial_slack)
        << what;
    EXPECT_EQ(p.late_calls, 0U) << what;
    EXPECT_NE(p.phase, gateway::rollout_phase::succeeded) << what;
  }

 private:
  static constexpr std::array<const char*, 3> routes{"plain", "long", "rare"};

  void place_order()
  {
    ordered_at_ = now_;
    order_end_ = now_ + 30s;
    const auto wall = clocks().wall;
    const gateway::rollout rollout{.service = "chat",
                                   .order = 1,
                                   .revision = 1,
                                   .target = "v2",
                                   .ordered_at = wall,
                                   .deadline = wall + 30s};
    leader().apply_rollout(rollout);
  }

  fleet_state& leader()
  {
    for (const auto& d : daemons_) {
      if (d->alive && d->state.is_leader()) {
        return d->state;
      }
    }
    // Another daemon becomes leader.
    for (const auto& d : daemons_) {
      if (d->alive) {
        d->state.set_leader(true);
        return d->state;
      }
    }
    throw std::logic_error("no daemon is left");
  }

  void kill_random_daemon()
  {
    auto& d = *daemons_[random_() % daemons_.size()];
    const auto living = std::count_if(daemons_.begin(), daemons_.end(),
                                      [](const auto& each) { return each->alive; });
    if (living > 2) {
      d.alive = false;
    }
  }

  // The rollout as the leader knows it; a new leader may not know it yet.
  std::optional<gateway::rollout> rollout_at_leader()
  {
    const auto* known = leader().rollouts.find("chat");
    return known == nullptr ? std::nullopt : std::optional(*known);
  }
  bool is_open()
  {
    const auto known = rollout_at_leader();
    return !known || gateway::is_open(*known);
  }

  void send_calls(double expected)
  {
    const int number = std::poisson_distribution<int>(expected)(random_);
    for (int i = 0; i < number; ++i) {
      auto& d = *daemons_[random_() % daemons_.size()];
      if (d.alive) {
        send_call(d.state, routes[random_() % 8 == 0 ? 2 : random_() % 2]);
      }
    }
  }

  void send_call(fleet_state& state, const std::string& route)
  {
    using side = gateway::version_selection::subset;
    const auto versions = state.version_calls.select(
        {.service = "chat", .route = route, .affinity_key = random_()}, false, clocks().wall);
    const bool to_target = versions.endpoints == side::trial || versions.endpoints == side::target;
    const auto few = versions.endpoints == side::trial ? 2 : 20;
    const auto endpoint = (versions.trial_seed + random_() % static_cast<std::uint64_t>(few)) % 20;
    const gateway::call_attempt call{.service = "chat",
                                     .route = route,
                                     .version = to_target ? "v2" : "v1",
                                     .endpoint = endpoint_id("e" + std::to_string(endpoint))};
    state.version_calls.on_sent(call);
    const auto outcome = draw_outcome(to_target, route);
    state.version_calls.on_ended(call, outcome);
    count_call(state, to_target, outcome);
  }

  gateway::call_outcome draw_outcome(bool to_target, const std::string& route)
  {
    const bool on_route = version_.only_route.empty() || version_.only_route == route;
    const bool bad = to_target && on_route && now_ >= ordered_at_ + version_.bad_after;
    gateway::call_outcome out{.is_counted = true};
    out.failed = std::bernoulli_distribution(bad ? version_.failure_rate : 0.005)(random_);
    const double ordinary = std::lognormal_distribution<double>(0, 0.6)(random_);
    out.first_event_seconds = ordinary * (bad ? version_.slowdown : 1);
    is_bad_answer_ = bad && (out.failed || version_.slowdown > 1);
    return out;
  }

  void count_call(const fleet_state& state, bool to_target, const gateway::call_outcome&)
  {
    const auto* known = state.rollouts.find("chat");
    const bool ended = known != nullptr && !gateway::is_open(*known);
    if (now_ <= order_end_ && !ended) {
      ++out_.calls;
    }
    if (!to_target) {
      return;
    }
    ++out_.to_target;
    out_.bad_answers += is_bad_answer_ ? 1 : 0;
    if (out_.bad_answers == 50 && !fiftieth_bad_answer_at_) {
      fiftieth_bad_answer_at_ = now_;
    }
    out_.late_calls +=
        fiftieth_bad_answer_at_ && now_ > *fiftieth_bad_answer_at_ + stop_deadline ? 1 : 0;
  }

  // Does what the coordinators do every 0.4 s.
  void advance_rollout()
  {
    if (advanced_at_ + 400ms > now_) {
      return;
    }
    advanced_at_ = now_;
    leader();
    for (std::size_t n = 0; n < daemons_.size(); ++n) {
      auto& state = daemons_[n]->state;
      const auto* order = state.rollouts.find("chat");
      if (!daemons_[n]->alive || order == nullptr || !state.is_coordinator(now_)) {
        continue;
      }
      for (const auto& row : state.version_calls.rows(clocks().wall)) {
        state.rollout_rows.merge(row);
      }
      advance_rollout(
          state, conductors_.try_emplace(n, gateway::rollout_controller({})).first->second, *order);
    }
  }

  void advance_rollout(fleet_state& state, gateway::rollout_controller& conductor,
                       gateway::rollout order)
  {
    if (const auto stopped = conductor.roll_back_if_bad(order, state.rollout_rows, clocks())) {
      state.apply_rollout(*stopped);
      return;
    }
    if (!state.is_leader()) {
      return;
    }
    const auto wall = clocks().wall;
    if (const auto next =
            conductor.next_phase(order, state.rollout_rows, {.baseline = 20, .target = 20}, wall)) {
      state.apply_rollout(*next);
      order = *next;
    }
    gateway::fleet_status fleet{.live = {state.options.id}};
    for (const auto& peer : state.peers.live(now_)) {
      fleet.live.push_back(peer.id);
    }
    fleet.has_silent_daemons = state.peers.running_count(now_) > fleet.live.size();
    if (conductor.is_complete(order, state.rollout_rows, fleet, wall)) {
      order.phase = gateway::rollout_phase::succeeded;
      state.apply_rollout(order);
    }
  }

  simulated_version version_;
  rollout_outcome out_;
  mono_time ordered_at_;
  mono_time order_end_;
  mono_time advanced_at_;
  std::optional<mono_time> fiftieth_bad_answer_at_;
  bool is_bad_answer_ = false;
  std::map<std::size_t, gateway::rollout_controller> conductors_;
};

const std::vector<simulated_version> bad_versions = {
    {.name = "fails a third", .failure_rate = 0.33},
    {.name = "fails nearly always", .failure_rate = 0.9},
    {.name = "five times slower", .slowdown = 5},
    {.name = "fails later", .failure_rate = 0.4, .bad_after = 9s},
    {.name = "fails on one route", .failure_rate = 0.5, .only_route = "long"},
    {.name = "slow on a route with few calls", .slowdown = 6, .only_route = "rare"},
};

TEST_F(RolloutReplayTest, NoBadVersionExceedsItsLimitsOrSucceeds)
{
  for (const auto& version : bad_versions) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      const auto p = simulate(6, 200, version, seed, false);
      expect_limits_kept(p, version.name + ", seed " + std::to_string(seed));
    }
  }
}

TEST_F(RolloutReplayTest, NoBadVersionExceedsItsLimitsOrSucceedsWhileDaemonsCrash)
{
  for (const auto& version : bad_versions) {
    for (unsigned seed = 11; seed <= 13; ++seed) {
      const auto p = simulate(12, 300, version, seed, true);
      expect_limits_kept(p, version.name + ", seed " + std::to_string(seed));
    }
  }
}

TEST_F(RolloutReplayTest, NoBadVersionExceedsItsLimitsOrSucceedsInAFleetOf60)
{
  for (const auto& version : bad_versions) {
    const auto p = simulate(60, 400, version, 21, true);
    expect_limits_kept(p, version.name);
  }
}

// A version that is slow only on one route, which gets one call in eight: it receives few such
// calls, and the worst of their many endpoints are left out of the comparison. With 45 of
// 2,000 seeds the version was detected too late or not at all; with the other kinds of bad
// versions, in none of 500 runs. The seeds used here are those that have ever failed.
TEST_F(RolloutReplayTest, NorDoesOneThatIsSlowOnARouteWithFewCalls)
{
  for (const unsigned seed : {1U, 33U, 64U, 89U, 95U, 137U, 146U, 160U}) {
    const auto p = simulate(6, 200, bad_versions.back(), seed, false);
    expect_limits_kept(p, "seed " + std::to_string(seed));
  }
}

TEST_F(RolloutReplayTest, GoodVersionsSucceedInTime)
{
  for (unsigned seed = 31; seed <= 50; ++seed) {
    const auto p = simulate(6, 200, {.name = "good"}, seed, false);
    EXPECT_EQ(p.phase, gateway::rollout_phase::succeeded) << seed;
    EXPECT_LE(p.ended_after, 30s) << seed;
  }
}

TEST_F(RolloutReplayTest, AGoodVersionSucceedsInTimeInAFleetOf60)
{
  const auto p = simulate(60, 400, {.name = "good"}, 61, false);
  EXPECT_EQ(p.phase, gateway::rollout_phase::succeeded);
  EXPECT_LE(p.ended_after, 30s);
}

} // namespace
} // namespace wisteriaflow::relay
