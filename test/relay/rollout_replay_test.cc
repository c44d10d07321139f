// Plays roll-outs in whole fleets: drawn versions, good and bad, that daemons try by their real
// state, while some daemons die. Endpoints and the store are stood in for; what a call costs is
// drawn.

#include <array>
#include <functional>
#include <map>

#include "relay/replayed_fleet.h"
#include "wisteriaflow/gateway/rollout_conductor.h"

namespace wisteriaflow::relay {
namespace {

constexpr double trial_part = 0.1;
constexpr double trial_slack = 50;
constexpr milliseconds stop_time{5'000}; // after the fiftieth bad answer
constexpr milliseconds step{50};

// How calls fare on the target.
struct drawn_version {
  std::string kind;
  double fails = 0;
  double slow_times = 1;
  std::string only_route; // empty: all
  milliseconds from{0};   // after the order

  [[nodiscard]] bool is_bad() const { return fails > 0.01 || slow_times > 1; }
};

struct played_rollout {
  gateway::rollout_phase phase = gateway::rollout_phase::trial;
  std::uint64_t calls = 0;
  std::uint64_t to_target = 0;
  std::uint64_t bad_answers = 0;
  std::uint64_t after_stop_time = 0; // calls to a bad version after it
  milliseconds ended_after{0};
};

class RolloutReplayTest : public replayed_fleet {
 protected:
  // `calls`: a second, of the whole fleet.
  played_rollout play(std::size_t daemons, int calls, const drawn_version& version, unsigned seed,
                      bool deaths)
  {
    random_.seed(seed);
    conductors_.clear();
    start_fleet(daemons);
    run_for(3s);
    daemons_[seed % daemons]->state.set_acting(true);
    version_ = version;
    out_ = {};
    fiftieth_.reset();
    order();
    for (; now_ < order_end_ + 10s && is_open(); run_for(step)) {
      if (deaths && std::bernoulli_distribution(0.002)(random_)) {
        kill_one();
      }
      send_calls(static_cast<double>(calls) * std::chrono::duration<double>(step).count());
      conduct();
    }
    out_.phase = latest()->phase;
    out_.ended_after = std::chrono::duration_cast<milliseconds>(now_ - ordered_);
    // Who has not heard of it by now goes on for a moment.
    for (int i = 0; i < 60; ++i, run_for(step)) {
      send_calls(static_cast<double>(calls) * std::chrono::duration<double>(step).count());
    }
    return out_;
  }

  void expect_within_rules(const played_rollout& p, const std::string& what)
  {
    if (!version_.is_bad()) {
      return;
    }
    EXPECT_LE(static_cast<double>(p.to_target),
              trial_part * static_cast<double>(p.calls) + trial_slack)
        << what;
    EXPECT_EQ(p.after_stop_time, 0U) << what;
    EXPECT_NE(p.phase, gateway::rollout_phase::succeeded) << what;
  }

 private:
  static constexpr std::array<const char*, 3> routes{"plain", "long", "rare"};

  void order()
  {
    ordered_ = now_;
    order_end_ = now_ + 30s;
    const auto wall = clocks().wall;
    const gateway::rollout placed{.service = "chat",
                                  .order = 1,
                                  .revision = 1,
                                  .target = "v2",
                                  .ordered_at = wall,
                                  .deadline = wall + 30s};
    acting().take_rollout(placed);
  }

  fleet_state& acting()
  {
    for (const auto& d : daemons_) {
      if (d->alive && d->state.is_acting()) {
        return d->state;
      }
    }
    // The duties move to another daemon.
    for (const auto& d : daemons_) {
      if (d->alive) {
        d->state.set_acting(true);
        return d->state;
      }
    }
    throw std::logic_error("no daemon is left");
  }

  void kill_one()
  {
    auto& d = *daemons_[random_() % daemons_.size()];
    const auto living = std::count_if(daemons_.begin(), daemons_.end(),
                                      [](const auto& each) { return each->alive; });
    if (living > 2) {
      d.alive = false;
    }
  }

  // As the daemon that holds the duties knows it; one that has just taken them may not yet.
  std::optional<gateway::rollout> latest()
  {
    const auto* known = acting().rollouts.find("chat");
    return known == nullptr ? std::nullopt : std::optional(*known);
  }
  bool is_open()
  {
    const auto known = latest();
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
    const auto lane = state.version_calls.select(
        {.service = "chat", .route = route, .affinity_key = random_()}, false, clocks().wall);
    const bool to_target = lane.endpoints == side::trial || lane.endpoints == side::target;
    const auto few = lane.endpoints == side::trial ? 2 : 20;
    const auto endpoint = (lane.trial_seed + random_() % static_cast<std::uint64_t>(few)) % 20;
    const gateway::call_attempt call{.service = "chat",
                                     .route = route,
                                     .version = to_target ? "v2" : "v1",
                                     .endpoint = endpoint_id("e" + std::to_string(endpoint))};
    state.version_calls.on_sent(call);
    const auto outcome = draw_outcome(to_target, route);
    state.version_calls.on_ended(call, outcome);
    count(state, to_target, outcome);
  }

  gateway::call_outcome draw_outcome(bool to_target, const std::string& route)
  {
    const bool on_route = version_.only_route.empty() || version_.only_route == route;
    const bool bad = to_target && on_route && now_ >= ordered_ + version_.from;
    gateway::call_outcome out{.is_counted = true};
    out.failed = std::bernoulli_distribution(bad ? version_.fails : 0.005)(random_);
    const double ordinary = std::lognormal_distribution<double>(0, 0.6)(random_);
    out.first_event_seconds = ordinary * (bad ? version_.slow_times : 1);
    is_bad_answer_ = bad && (out.failed || version_.slow_times > 1);
    return out;
  }

  void count(const fleet_state& state, bool to_target, const gateway::call_outcome&)
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
    if (out_.bad_answers == 50 && !fiftieth_) {
      fiftieth_ = now_;
    }
    out_.after_stop_time += fiftieth_ && now_ > *fiftieth_ + stop_time ? 1 : 0;
  }

  // What the daemons that lead do every 0.4 s.
  void conduct()
  {
    if (conducted_at_ + 400ms > now_) {
      return;
    }
    conducted_at_ = now_;
    acting();
    for (std::size_t n = 0; n < daemons_.size(); ++n) {
      auto& state = daemons_[n]->state;
      const auto* order = state.rollouts.find("chat");
      if (!daemons_[n]->alive || order == nullptr || !state.leads(now_)) {
        continue;
      }
      for (const auto& row : state.version_calls.rows(clocks().wall)) {
        state.rollout_rows.merge(row);
      }
      conduct(state, conductors_.try_emplace(n, gateway::rollout_controller({})).first->second,
              *order);
    }
  }

  void conduct(fleet_state& state, gateway::rollout_controller& conductor, gateway::rollout order)
  {
    if (const auto stopped = conductor.roll_back_if_bad(order, state.rollout_rows, clocks())) {
      state.take_rollout(*stopped);
      return;
    }
    if (!state.is_acting()) {
      return;
    }
    const auto wall = clocks().wall;
    if (const auto next =
            conductor.next_phase(order, state.rollout_rows, {.baseline = 20, .target = 20}, wall)) {
      state.take_rollout(*next);
      order = *next;
    }
    gateway::fleet_status fleet{.live = {state.options.id}};
    for (const auto& peer : state.peers.live(now_)) {
      fleet.live.push_back(peer.id);
    }
    fleet.has_silent_daemons = state.peers.running_count(now_) > fleet.live.size();
    if (conductor.is_complete(order, state.rollout_rows, fleet, wall)) {
      order.phase = gateway::rollout_phase::succeeded;
      state.take_rollout(order);
    }
  }

  drawn_version version_;
  played_rollout out_;
  mono_time ordered_;
  mono_time order_end_;
  mono_time conducted_at_;
  std::optional<mono_time> fiftieth_;
  bool is_bad_answer_ = false;
  std::map<std::size_t, gateway::rollout_controller> conductors_;
};

const std::vector<drawn_version> bad_versions = {
    {.kind = "fails a third", .fails = 0.33},
    {.kind = "fails nearly always", .fails = 0.9},
    {.kind = "five times slower", .slow_times = 5},
    {.kind = "fails later", .fails = 0.4, .from = 9s},
    {.kind = "fails on one route", .fails = 0.5, .only_route = "long"},
    {.kind = "slow on a route with few calls", .slow_times = 6, .only_route = "rare"},
};

TEST_F(RolloutReplayTest, NoBadVersionGetsMoreThanItsPartOrGoesThrough)
{
  for (const auto& version : bad_versions) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      const auto p = play(6, 200, version, seed, false);
      expect_within_rules(p, version.kind + ", seed " + std::to_string(seed));
    }
  }
}

TEST_F(RolloutReplayTest, NorDoesItWhileDaemonsDie)
{
  for (const auto& version : bad_versions) {
    for (unsigned seed = 11; seed <= 13; ++seed) {
      const auto p = play(12, 300, version, seed, true);
      expect_within_rules(p, version.kind + ", seed " + std::to_string(seed));
    }
  }
}

TEST_F(RolloutReplayTest, NorDoesItInAFleetOf60)
{
  for (const auto& version : bad_versions) {
    const auto p = play(60, 400, version, 21, true);
    expect_within_rules(p, version.kind);
  }
}

// A version that is slow on one route in eight alone: few of its calls come, and of the many
// endpoints that they met the worst are left out. In 3 of 100 plays it is known too late or not at
// all, with these seeds; in none of 500 of the other kinds.
TEST_F(RolloutReplayTest, NorDoesOneThatIsSlowOnARouteWithFewCalls)
{
  for (const unsigned seed : {33U, 89U, 95U}) {
    const auto p = play(6, 200, bad_versions.back(), seed, false);
    expect_within_rules(p, "seed " + std::to_string(seed));
  }
}

TEST_F(RolloutReplayTest, GoodVersionsGoThroughInTime)
{
  for (unsigned seed = 31; seed <= 50; ++seed) {
    const auto p = play(6, 200, {.kind = "good"}, seed, false);
    EXPECT_EQ(p.phase, gateway::rollout_phase::succeeded) << seed;
    EXPECT_LE(p.ended_after, 30s) << seed;
  }
}

TEST_F(RolloutReplayTest, AGoodVersionGoesThroughInTimeInAFleetOf60)
{
  const auto p = play(60, 400, {.kind = "good"}, 61, false);
  EXPECT_EQ(p.phase, gateway::rollout_phase::succeeded);
  EXPECT_LE(p.ended_after, 30s);
}

} // namespace
} // namespace wisteriaflow::relay
